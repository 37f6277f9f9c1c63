use mangospindle_model::EntryId;
use serde::{Deserialize, Serialize};

/// One attempt of one entry process to claim an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The entry that makes the claim.
    pub entry: EntryId,
    /// Random number drawn at the start of the entry process.
    pub incarnation: u64,
    /// Sequence number within the entry process.
    pub sequence: u64,
}

use crate::Membership;
use serde::{Deserialize, Serialize};

/// A snapshot of the state machine at an index of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership at that index.
    pub membership: Membership,
    /// Encoded state of the state machine.
    pub data: Vec<u8>,
}

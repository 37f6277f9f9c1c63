use crate::Member;
use serde::{Deserialize, Serialize};

/// What a node must persist before it answers a message of the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term the node has seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<Member>,
}

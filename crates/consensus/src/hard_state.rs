use crate::{Formation, Member};
use serde::{Deserialize, Serialize};

/// What a node must persist before it answers a message of the term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term the node has seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub voted_for: Option<Member>,
    /// The initial membership that the node agreed to, kept for good.
    pub formation: Option<Formation>,
}

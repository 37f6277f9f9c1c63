use crate::{Formation, Member};
use serde::{Deserialize, Serialize};

/// State that a node must persist before it replies to a message of the term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term the node has seen.
    pub term: u64,
    /// The member it voted for in that term.
    pub voted_for: Option<Member>,
    /// The initial membership that the node has accepted. It is never removed.
    pub formation: Option<Formation>,
}

use crate::Member;
use serde::{Deserialize, Serialize};

/// A proposed initial membership. It takes effect only once every voter in it has persisted its
/// acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formation {
    /// Number of the proposal. A replica accepts only a higher ballot than it has accepted before.
    pub ballot: u64,
    /// The initial voters, sorted by replica.
    pub voters: Vec<Member>,
    /// Whether the replica that stores the proposal knows that all voters have accepted it.
    pub complete: bool,
}

impl Formation {
    /// Returns whether both are the same proposal, complete or not.
    pub(crate) fn is_same(&self, other: &Formation) -> bool {
        self.ballot == other.ballot && self.voters == other.voters
    }
}

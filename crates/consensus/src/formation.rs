use crate::Member;
use serde::{Deserialize, Serialize};

/// A proposed initial membership. It takes effect only once every member named in it has accepted
/// it durably.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formation {
    /// Number of the proposal. A replica accepts only higher ones than it has accepted before.
    pub ballot: u64,
    /// The initial voters, sorted by replica.
    pub voters: Vec<Member>,
    /// Whether the holder knows that all of the voters have accepted it.
    pub complete: bool,
}

impl Formation {
    /// Whether both are the same proposal.
    pub(crate) fn is_same(&self, other: &Formation) -> bool {
        self.ballot == other.ballot && self.voters == other.voters
    }
}

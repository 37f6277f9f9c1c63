use serde::{Deserialize, Serialize};

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Not in the membership, or a learner.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won, without raising its term.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Appends entries.
    Leader,
}

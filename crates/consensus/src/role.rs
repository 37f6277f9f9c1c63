use serde::{Deserialize, Serialize};

/// Role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Is a learner or not in the membership.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it could win an election, without incrementing its term.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

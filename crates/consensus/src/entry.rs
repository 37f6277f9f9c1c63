use crate::Membership;
use serde::{Deserialize, Serialize};

/// One position of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Appended by a new leader to commit the entries of earlier terms.
    Noop,
    /// An encoded command of the state machine.
    Command(Vec<u8>),
    /// A change of the membership; in force as soon as it is appended.
    Membership(Membership),
}

use crate::Membership;
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// An empty entry that a new leader appends to commit the entries of earlier terms.
    Noop,
    /// An encoded command of the state machine.
    Command(Vec<u8>),
    /// A membership change. It takes effect as soon as it is appended.
    Membership(Membership),
}

use crate::Membership;
use serde::{Deserialize, Serialize};

/// Bytes counted for an entry in addition to its command.
const OVERHEAD_BYTES: usize = 32;

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

impl Entry {
    /// Size in memory and in a message, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        let command = match &self.payload {
            Payload::Command(command) => command.len(),
            Payload::Noop | Payload::Membership(_) => 0,
        };
        command + OVERHEAD_BYTES
    }
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

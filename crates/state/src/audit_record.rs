use crate::{Actor, AuditChange, RequestId};

/// A change of the replicated state, with its originator and time.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditRecord {
    /// Sequence number. Starts at 1 and increases by one with each record.
    pub sequence: u64,
    /// Index of the log entry that made the change. One entry can make several changes.
    pub index: u64,
    /// Wall-clock time at the leader, in milliseconds since the Unix epoch.
    pub leader_time_ms: u64,
    /// Originator of the change.
    pub actor: Actor,
    /// The request that made the change.
    pub request: RequestId,
    /// Version of the configuration after the change.
    pub version: u64,
    /// What changed.
    pub change: AuditChange,
}

use crate::{Actor, AuditChange, RequestId};

/// One change of the replicated state, with who made it and when.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditRecord {
    /// Grows by one with each record, from 1.
    pub sequence: u64,
    /// Index of the log entry that made the change. One entry can make several changes.
    pub index: u64,
    /// Wall-clock time at the leader, in milliseconds since the Unix epoch.
    pub leader_time_ms: u64,
    /// Who asked.
    pub actor: Actor,
    /// The request that made the change.
    pub request: RequestId,
    /// Version of the configuration after the change.
    pub version: u64,
    /// What changed.
    pub change: AuditChange,
}

use crate::AuditRecord;

/// A page of the audit trail, oldest record first.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditPage {
    /// The records.
    pub records: Vec<AuditRecord>,
    /// Sequence number of the oldest record still in the state. Older records are only in the
    /// files that the control process exports.
    pub first_available: u64,
    /// Sequence number of the newest record; 0 if there are no records.
    pub last: u64,
}

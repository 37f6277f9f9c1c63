use crate::{AuditPage, AuditRecord};
use std::collections::VecDeque;

/// Maximum number of records in the state. The control process exports records to files before they
/// are evicted: it reads with [`State::audit`](crate::State::audit) from the last exported sequence
/// number.
pub(crate) const MAX_RECORDS: usize = 10_000;

/// The newest records of the audit trail.
#[derive(Clone, Debug, Default)]
pub(crate) struct AuditTrail {
    pub(crate) records: VecDeque<AuditRecord>,
    /// Sequence number of the newest record.
    pub(crate) last: u64,
}

impl AuditTrail {
    /// Appends a record and sets its sequence number.
    pub(crate) fn push(&mut self, mut record: AuditRecord) {
        self.last += 1;
        record.sequence = self.last;
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    pub(crate) fn page(&self, after: u64, limit: usize) -> AuditPage {
        let first_available = self.last + 1 - self.records.len() as u64;
        let skip = after.saturating_add(1).saturating_sub(first_available) as usize;
        AuditPage {
            records: self
                .records
                .iter()
                .skip(skip)
                .take(limit)
                .cloned()
                .collect(),
            first_available,
            last: self.last,
        }
    }
}

use crate::{AuditPage, AuditRecord, EncodedAuditRecord};
use std::collections::VecDeque;

/// Maximum number of records in the state. The control process exports records to files before they
/// are evicted.
const MAX_RECORDS: usize = 10_000;

/// Maximum size of the records in the state, in bytes. The newest record is kept even if it is
/// larger; it is at most twice as large as a command.
const MAX_BYTES: usize = 4 << 20;

/// Maximum size of the encoded records of a page, in bytes. A larger record is a page of its own.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// The newest records of the audit trail.
///
/// No outcome of a command depends on which records are kept. Replicas of a build with other limits
/// keep more or fewer of the same records.
#[derive(Clone, Debug, Default)]
pub(crate) struct AuditTrail {
    /// Sequence number of the newest record.
    pub(crate) last: u64,
    pub(crate) records: RetainedRecords,
}

/// The newest records of a sequence, as many as the limits allow.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetainedRecords {
    records: VecDeque<EncodedAuditRecord>,
    bytes: usize,
}

impl AuditTrail {
    /// Appends a record and sets its sequence number.
    pub(crate) fn push(&mut self, mut record: AuditRecord) {
        self.last += 1;
        record.sequence = self.last;
        self.records.push(EncodedAuditRecord::from(&record));
    }

    /// Returns at most `limit` records after a sequence number.
    pub(crate) fn page(&self, after: u64, limit: usize) -> AuditPage {
        let records = self.encoded(after, MAX_PAGE_BYTES).take(limit);
        AuditPage {
            records: records.map(AuditRecord::from).collect(),
            first_available: self.first_available(),
            last: self.last,
        }
    }

    /// The records after a sequence number, up to a size in bytes but at least one.
    pub(crate) fn encoded(
        &self,
        after: u64,
        max_bytes: usize,
    ) -> impl Iterator<Item = &EncodedAuditRecord> {
        let skip = after
            .saturating_add(1)
            .saturating_sub(self.first_available()) as usize;
        let mut bytes = 0;
        self.records.iter().skip(skip).take_while(move |record| {
            let is_first = bytes == 0;
            bytes += record.as_bytes().len();
            is_first || bytes <= max_bytes
        })
    }

    fn first_available(&self) -> u64 {
        self.last + 1 - self.records.len() as u64
    }
}

impl RetainedRecords {
    /// Appends a record and evicts the oldest records above the limits.
    pub(crate) fn push(&mut self, record: EncodedAuditRecord) {
        self.bytes += record.memory_bytes();
        self.records.push_back(record);
        while self.records.len() > 1 && (self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES)
        {
            let evicted = self.records.pop_front();
            self.bytes -= evicted.map_or(0, |r| r.memory_bytes());
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Memory that the records take, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &EncodedAuditRecord> {
        self.records.iter()
    }
}

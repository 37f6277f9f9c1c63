use crate::wire::AuditRecordWire;
use crate::{AuditChange, AuditRecord, ConfigChange};
use std::sync::Arc;

/// Memory that a record takes in addition to its encoding, in bytes: the entry in the queue and the
/// header of the allocation.
const OVERHEAD_BYTES: usize = 64;

/// An audit record in the format of snapshots. It takes less memory than the decoded record, and its
/// size is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedAuditRecord {
    sequence: u64,
    changes_workspaces: bool,
    bytes: Arc<[u8]>,
}

impl EncodedAuditRecord {
    /// Sequence number of the record.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The encoding.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Memory that the record takes, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.bytes.len() + OVERHEAD_BYTES
    }

    /// Whether earlier builds cannot read the record, because it is a change of workspaces.
    pub(crate) fn changes_workspaces(&self) -> bool {
        self.changes_workspaces
    }
}

impl From<&AuditRecord> for EncodedAuditRecord {
    fn from(record: &AuditRecord) -> Self {
        // Encoding into memory fails only for sequences of unknown length. There are none here.
        let bytes = postcard::to_stdvec(&AuditRecordWire::from(record))
            .expect("the length of every sequence is known");
        EncodedAuditRecord {
            sequence: record.sequence,
            changes_workspaces: changes_workspaces(&record.change),
            bytes: bytes.into(),
        }
    }
}

impl From<&EncodedAuditRecord> for AuditRecord {
    fn from(record: &EncodedAuditRecord) -> Self {
        let wire: Result<AuditRecordWire, _> = postcard::from_bytes(&record.bytes);
        // The bytes are only created by the conversion above.
        wire.expect("the encoding of a record can be decoded")
            .into()
    }
}

fn changes_workspaces(change: &AuditChange) -> bool {
    match change {
        AuditChange::Bootstrap { .. } => false,
        AuditChange::Config { before, after } => [before.as_deref(), Some(&**after)]
            .into_iter()
            .flatten()
            .any(|c| matches!(c, ConfigChange::UpdateRoutesAndWorkspaces(..))),
    }
}

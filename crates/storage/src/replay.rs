use crate::{Corruption, Record, Segment, StorageError, disk_format::LogRecord};
use mangospindle_consensus::{Entry, HardState, RecoveryError, Snapshot};

/// Builds hard state and entries from the records of all segments.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
    /// Position of the latest snapshot that must be present, or 0.
    pub(crate) snapshot: u64,
    /// Number of the next record, unless no record was read yet.
    pub(crate) next: Option<u64>,
}

impl Replay {
    /// Reads a segment and returns the length of its intact part. Only the last segment may end in
    /// a torn write: an earlier one was synced before the next one was started.
    pub(crate) fn read(
        &mut self,
        segment: &mut Segment,
        bytes: &[u8],
        is_last: bool,
    ) -> Result<usize, StorageError> {
        let name = segment.name();
        let mut offset = 0;
        while offset < bytes.len() {
            let corrupted = |corruption| StorageError::corrupted(&name, offset, corruption);
            let expected = self.next.unwrap_or(segment.first);
            let Some((record, length)) = Record::decode(&bytes[offset..]) else {
                if !is_last || Record::shows_synced(&bytes[offset..], expected) {
                    return Err(corrupted(Corruption::Checksum));
                }
                break;
            };
            if record.number != expected || (offset == 0 && expected != segment.first) {
                return Err(corrupted(Corruption::UnexpectedSequence {
                    expected,
                    found: record.number,
                }));
            }
            let content = postcard::from_bytes(record.payload).map_err(Corruption::Encoding);
            let applied = content.and_then(|content| self.apply(segment, content));
            applied.map_err(corrupted)?;
            self.next = Some(expected + 1);
            offset += length;
        }
        segment.bytes = offset as u64;
        Ok(offset)
    }

    fn apply(&mut self, segment: &mut Segment, content: LogRecord) -> Result<(), Corruption> {
        match content {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state.into(),
            LogRecord::Start {
                hard_state,
                snapshot,
                reset,
            } => {
                self.hard_state = hard_state.into();
                self.snapshot = self.snapshot.max(snapshot);
                if reset {
                    self.entries.clear();
                }
            }
            LogRecord::Entry(entry) => {
                let entry = Entry::try_from(entry)?;
                segment.last_index = segment.last_index.max(entry.index);
                let kept = self.entries.partition_point(|e| e.index < entry.index);
                self.entries.truncate(kept);
                let previous = self.entries.last().map_or(entry.index - 1, |e| e.index);
                if previous + 1 != entry.index {
                    let found = entry.index;
                    return Err(RecoveryError::Gap { previous, found }.into());
                }
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// Drops what the snapshot covers, and everything if the log took another course than the
    /// snapshot: then it was about to be replaced by it.
    pub(crate) fn rebase(&mut self, snapshot: Option<&Snapshot>) -> Result<(), Corruption> {
        let (index, term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
        if index < self.snapshot {
            return Err(Corruption::MissingFile);
        }
        let at = self.entries.iter().find(|e| e.index == index);
        let differs = at.is_some_and(|e| e.term != term);
        self.entries.retain(|e| !differs && e.index > index);
        match self.entries.first() {
            Some(first) if first.index != index + 1 => Err(RecoveryError::Gap {
                previous: index,
                found: first.index,
            }
            .into()),
            _ => Ok(()),
        }
    }
}

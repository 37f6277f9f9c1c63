use crate::{Corruption, Record, Segment, StorageError, disk_format::LogRecord};
use mangospindle_consensus::{Entry, HardState, RecoveryError, Snapshot};

/// Rebuilds the hard state and the entries from the records of all segments.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<Entry>,
    /// Index of the latest snapshot that the log refers to, or 0. That snapshot or a later one must
    /// exist.
    pub(crate) required_snapshot: u64,
    /// Sequence number of the next record, or `None` before the first one.
    pub(crate) next_sequence: Option<u64>,
}

impl Replay {
    /// Replays a segment and returns the length of its intact prefix in bytes. Only the last
    /// segment may end in a torn write, because a segment is synced before the next one is started.
    pub(crate) fn replay_segment(
        &mut self,
        segment: &mut Segment,
        bytes: &[u8],
        is_last: bool,
    ) -> Result<usize, StorageError> {
        let name = segment.file_name();
        let mut offset = 0;
        while offset < bytes.len() {
            let corrupted = |corruption| StorageError::corrupted(&name, offset, corruption);
            let expected = self.next_sequence.unwrap_or(segment.first_sequence);
            let Some((record, length)) = Record::decode(&bytes[offset..]) else {
                if !is_last || Record::later_record_proves_sync(&bytes[offset..], expected) {
                    return Err(corrupted(Corruption::Checksum));
                }
                break;
            };
            if record.sequence != expected || (offset == 0 && expected != segment.first_sequence) {
                return Err(corrupted(Corruption::UnexpectedSequence {
                    expected,
                    found: record.sequence,
                }));
            }
            let content = postcard::from_bytes(record.payload).map_err(Corruption::Encoding);
            let result = content.and_then(|content| self.apply_record(segment, content));
            result.map_err(corrupted)?;
            self.next_sequence = Some(expected + 1);
            offset += length;
        }
        segment.size_bytes = offset as u64;
        Ok(offset)
    }

    fn apply_record(
        &mut self,
        segment: &mut Segment,
        content: LogRecord,
    ) -> Result<(), Corruption> {
        match content {
            LogRecord::HardState(hard_state) => self.hard_state = hard_state.into(),
            LogRecord::Start {
                hard_state,
                snapshot,
                reset,
            } => {
                self.hard_state = hard_state.into();
                self.required_snapshot = self.required_snapshot.max(snapshot);
                if reset {
                    self.entries.clear();
                }
            }
            LogRecord::Entry(entry) => {
                let entry = Entry::try_from(entry)?;
                segment.last_index = segment.last_index.max(entry.index);
                let kept_entries = self.entries.partition_point(|e| e.index < entry.index);
                self.entries.truncate(kept_entries);
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

    /// Removes the entries that the snapshot includes.
    ///
    /// Removes all entries if the entry at the index of the snapshot has another term. In this case
    /// the snapshot came from the leader, and a crash interrupted the replacement of the log.
    pub(crate) fn apply_snapshot(&mut self, snapshot: Option<&Snapshot>) -> Result<(), Corruption> {
        let (index, term) = snapshot.map_or((0, 0), |s| (s.index, s.term));
        if index < self.required_snapshot {
            return Err(Corruption::MissingFile);
        }
        let last_included = self.entries.iter().find(|e| e.index == index);
        let conflicts = last_included.is_some_and(|e| e.term != term);
        self.entries.retain(|e| !conflicts && e.index > index);
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

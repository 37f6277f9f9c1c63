//! The write-ahead log, open for writing.

mod open;
mod snapshot;

use crate::{
    DataDirectory, FileSystem, Record, Segment, StorageError, WalOptions, disk_format::LogRecord,
};
use mangospindle_consensus::{Entry, HardState, StorageId};

/// Write-ahead log with the hard state, the entries and the latest snapshot of one replica.
///
/// Writes reach the log in the order of the calls. Hard states and entries become durable with the
/// next [`Wal::sync`], snapshots before the call returns.
///
/// Every method that writes returns [`StorageError::Io`] or [`StorageError::Encode`] when it fails.
/// After that, all of them return [`StorageError::AlreadyFailed`].
#[derive(Debug)]
pub struct Wal<F = DataDirectory>
where
    F: FileSystem,
{
    file_system: F,
    options: WalOptions,
    storage: StorageId,
    /// All segments, oldest first. Records go to the last one, which exists once the log is open.
    segments: Vec<Segment>,
    /// Sequence number of the next record.
    next_sequence: u64,
    /// Sequence number of the last synced record.
    synced_sequence: u64,
    hard_state: HardState,
    /// Index of the latest snapshot, or 0.
    snapshot_index: u64,
    /// Index and term of the last entry, or of the snapshot that replaced all entries. `None` if
    /// the log was opened without entries and none was written since.
    last_entry: Option<(u64, u64)>,
    /// Set by the first failure. After a failed sync it is unknown whether the data is on disk, and
    /// a repeated sync may succeed without writing it.
    failed: bool,
}

impl<F> Wal<F>
where
    F: FileSystem,
{
    /// Returns the random identifier of the data directory.
    pub fn storage_id(&self) -> StorageId {
        self.storage
    }

    /// Writes the hard state. The next [`Wal::sync`] makes it durable.
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.run_operation(|wal| {
            wal.hard_state = hard_state.clone();
            wal.append_records([LogRecord::HardState(hard_state.into())])
        })
    }

    /// Removes all entries from the index of the first given entry on, then appends the given ones.
    /// The next [`Wal::sync`] makes this durable.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        self.run_operation(|wal| {
            wal.append_records(entries.iter().map(|entry| LogRecord::Entry(entry.into())))?;
            if let Some(last) = entries.last() {
                wal.last_entry = Some((last.index, last.term));
                let segment = wal.segments.last_mut();
                let max_index = segment.map(|s| s.last_index = s.last_index.max(last.index));
                debug_assert!(max_index.is_some(), "no segment is open");
            }
            Ok(())
        })
    }

    /// Makes everything written so far durable. Returns the index and term of the last entry.
    pub fn sync(&mut self) -> Result<Option<(u64, u64)>, StorageError> {
        self.run_operation(|wal| {
            wal.sync_segment()?;
            let segment_size = wal.segments.last().map_or(0, |s| s.size_bytes);
            if segment_size >= wal.options.segment_bytes {
                wal.start_segment(false)?;
            }
            Ok(wal.last_entry)
        })
    }

    /// Runs an operation unless an earlier one failed, and records whether it fails.
    fn run_operation<T, O>(&mut self, operation: O) -> Result<T, StorageError>
    where
        O: FnOnce(&mut Self) -> Result<T, StorageError>,
    {
        if self.failed {
            return Err(StorageError::AlreadyFailed);
        }
        let result = operation(self);
        self.failed = result.is_err();
        result
    }

    /// Appends records to the last segment without a sync.
    fn append_records<I>(&mut self, contents: I) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = LogRecord>,
    {
        let mut buf = Vec::new();
        for content in contents {
            let record = Record {
                sequence: self.next_sequence,
                synced_sequence: self.synced_sequence,
                payload: &postcard::to_stdvec(&content)?,
            };
            record.encode(&mut buf);
            self.next_sequence += 1;
        }
        let Some(segment) = self.segments.last_mut() else {
            return Err(StorageError::AlreadyFailed);
        };
        segment.size_bytes += buf.len() as u64;
        let name = segment.file_name();
        self.file_system
            .append(&name, &buf)
            .map_err(StorageError::io("write", &name))
    }

    /// Makes all records of the last segment durable.
    fn sync_segment(&mut self) -> Result<(), StorageError> {
        if let Some(segment) = self.segments.last() {
            let name = segment.file_name();
            self.file_system
                .sync(&name)
                .map_err(StorageError::io("sync", &name))?;
        }
        self.synced_sequence = self.next_sequence - 1;
        Ok(())
    }

    /// Starts a segment and makes it durable. Its first record repeats the hard state and the index
    /// of the snapshot, so that earlier segments can be removed. The previous segment must be
    /// synced, because only the last one may end in a torn write. `reset` removes all earlier
    /// entries.
    fn start_segment(&mut self, reset: bool) -> Result<(), StorageError> {
        let segment = Segment::new(self.next_sequence);
        let name = segment.file_name();
        self.file_system
            .create(&name)
            .map_err(StorageError::io("create", &name))?;
        self.segments.push(segment);
        let start = LogRecord::Start {
            hard_state: (&self.hard_state).into(),
            snapshot: self.snapshot_index,
            reset,
        };
        self.append_records([start])?;
        self.sync_segment()?;
        self.sync_directory()
    }

    fn sync_directory(&mut self) -> Result<(), StorageError> {
        self.file_system
            .sync_directory()
            .map_err(StorageError::io("sync", "the data directory"))
    }

    /// Removes a file and syncs the directory. Each removal is durable before the next one, so that
    /// a crash cannot leave a gap between the segments.
    fn remove_file(&mut self, name: &str) -> Result<(), StorageError> {
        self.file_system
            .remove(name)
            .map_err(StorageError::io("remove", name))?;
        self.sync_directory()
    }
}

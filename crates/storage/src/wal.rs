//! The log on disk, opened for writing.

mod open;
mod snapshot;

use crate::{
    DataDirectory, FileSystem, Record, Segment, StorageError, WalOptions, disk_format::LogRecord,
};
use mangospindle_consensus::{Entry, HardState, StorageId};

/// Hard state, entries and snapshots of one replica on disk.
///
/// Methods write in the order of the calls. Nothing is durable before the next [`Wal::sync`],
/// apart from snapshots.
#[derive(Debug)]
pub struct Wal<F = DataDirectory>
where
    F: FileSystem,
{
    files: F,
    options: WalOptions,
    storage: StorageId,
    /// All segments, oldest first. The last one is written to; it exists from opening on.
    segments: Vec<Segment>,
    /// Number of the next record.
    next: u64,
    /// Last record that is synced.
    synced: u64,
    hard_state: HardState,
    /// Position of the latest snapshot, or 0.
    snapshot: u64,
    /// Position and term of the last entry.
    last: Option<(u64, u64)>,
    /// Set by the first failure. Whether the data of a failed sync reaches the disk later is not
    /// known, and a repeated sync may succeed without it.
    stopped: bool,
}

impl<F> Wal<F>
where
    F: FileSystem,
{
    /// Random identifier of the data directory.
    pub fn storage_id(&self) -> StorageId {
        self.storage
    }

    /// Writes the hard state.
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<(), StorageError> {
        self.attempt(|wal| {
            wal.hard_state = hard_state.clone();
            wal.write([LogRecord::HardState(hard_state.into())])
        })
    }

    /// Removes all entries from the position of the first one on, then appends the entries.
    pub fn append(&mut self, entries: &[Entry]) -> Result<(), StorageError> {
        self.attempt(|wal| {
            wal.write(entries.iter().map(|entry| LogRecord::Entry(entry.into())))?;
            if let Some(last) = entries.last() {
                wal.last = Some((last.index, last.term));
                let segment = wal.segments.last_mut();
                let highest = segment.map(|s| s.last_index = s.last_index.max(last.index));
                debug_assert!(highest.is_some(), "a segment is open");
            }
            Ok(())
        })
    }

    /// Makes everything written so far durable. Returns position and term of the last entry.
    pub fn sync(&mut self) -> Result<Option<(u64, u64)>, StorageError> {
        self.attempt(|wal| {
            wal.sync_segment()?;
            let size = wal.segments.last().map_or(0, |s| s.bytes);
            if size >= wal.options.segment_bytes {
                wal.start_segment(false)?;
            }
            Ok(wal.last)
        })
    }

    fn attempt<T, A>(&mut self, action: A) -> Result<T, StorageError>
    where
        A: FnOnce(&mut Self) -> Result<T, StorageError>,
    {
        if self.stopped {
            return Err(StorageError::AlreadyFailed);
        }
        let result = action(self);
        self.stopped = result.is_err();
        result
    }

    fn write<I>(&mut self, contents: I) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = LogRecord>,
    {
        let mut buf = Vec::new();
        for content in contents {
            let record = Record {
                number: self.next,
                synced: self.synced,
                payload: &postcard::to_stdvec(&content)?,
            };
            record.encode(&mut buf);
            self.next += 1;
        }
        let Some(segment) = self.segments.last_mut() else {
            return Err(StorageError::AlreadyFailed);
        };
        segment.bytes += buf.len() as u64;
        let name = segment.name();
        self.files
            .append(&name, &buf)
            .map_err(StorageError::io("write", &name))
    }

    fn sync_segment(&mut self) -> Result<(), StorageError> {
        if let Some(segment) = self.segments.last() {
            let name = segment.name();
            self.files
                .sync(&name)
                .map_err(StorageError::io("sync", &name))?;
        }
        self.synced = self.next - 1;
        Ok(())
    }

    /// Starts a segment. It repeats the hard state and names the snapshot, so that earlier segments can be removed. The
    /// one before must be synced: only the last segment may end in a torn write.
    fn start_segment(&mut self, reset: bool) -> Result<(), StorageError> {
        let segment = Segment::new(self.next);
        let name = segment.name();
        self.files
            .create(&name)
            .map_err(StorageError::io("create", &name))?;
        self.segments.push(segment);
        let start = LogRecord::Start {
            hard_state: (&self.hard_state).into(),
            snapshot: self.snapshot,
            reset,
        };
        self.write([start])?;
        self.sync_segment()?;
        self.sync_directory()
    }

    fn sync_directory(&mut self) -> Result<(), StorageError> {
        self.files
            .sync_directory()
            .map_err(StorageError::io("sync", "the data directory"))
    }

    /// Removes a file durably before the next one is removed, so that no gap can appear.
    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.files
            .remove(name)
            .map_err(StorageError::io("remove", name))?;
        self.sync_directory()
    }
}

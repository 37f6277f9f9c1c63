//! Snapshot files, and files that hold a single record in general.

use super::Wal;
use crate::{Corruption, FileSystem, Record, StorageError, disk_format::StoredSnapshot};
use mangospindle_consensus::Snapshot;
use serde::{Serialize, de::DeserializeOwned};

const PREFIX: &str = "snapshot-";

pub(super) const TEMPORARY: &str = "temporary";

pub(super) fn snapshot_name(index: u64) -> String {
    format!("{PREFIX}{index:020}")
}

pub(super) fn snapshot_index(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

impl<F> Wal<F>
where
    F: FileSystem,
{
    /// Saves a snapshot of the own state and frees the entries up to it. It is durable on return.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.attempt(|wal| {
            wal.write_snapshot(snapshot)?;
            wal.start_segment(false)?;
            wal.remove_covered(snapshot.index)
        })
    }

    /// Replaces all entries by a snapshot from the leader. It is durable on return.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.attempt(|wal| {
            wal.write_snapshot(snapshot)?;
            wal.start_segment(true)?;
            wal.last = Some((snapshot.index, snapshot.term));
            for segment in &mut wal.segments {
                segment.last_index = 0;
            }
            wal.remove_covered(snapshot.index)
        })
    }

    /// Earlier records are synced first, so that a crash never keeps the snapshot without them.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.sync_segment()?;
        let content = StoredSnapshot::from(snapshot);
        write_file(&mut self.files, &snapshot_name(snapshot.index), &content)?;
        self.snapshot = snapshot.index;
        Ok(())
    }

    /// Removes older snapshots, and the oldest segments as long as all their entries are covered.
    pub(super) fn remove_covered(&mut self, index: u64) -> Result<(), StorageError> {
        let names = self.files.list();
        let names = names.map_err(StorageError::io("list", "the data directory"))?;
        let older = |name: &&String| snapshot_index(name).is_some_and(|i| i < index);
        for name in names.iter().filter(older) {
            self.remove(name)?;
        }
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = self.segments.remove(0).name();
            self.remove(&name)?;
        }
        Ok(())
    }
}

/// Writes a file of one record in such a way that it is either complete or not there.
pub(super) fn write_file<F, T>(files: &mut F, name: &str, content: &T) -> Result<(), StorageError>
where
    F: FileSystem,
    T: Serialize,
{
    let mut buf = Vec::new();
    let record = Record {
        number: 0,
        synced: 0,
        payload: &postcard::to_stdvec(content)?,
    };
    record.encode(&mut buf);
    files
        .create(TEMPORARY)
        .and_then(|()| files.append(TEMPORARY, &buf))
        .and_then(|()| files.sync(TEMPORARY))
        .and_then(|()| files.rename(TEMPORARY, name))
        .and_then(|()| files.sync_directory())
        .map_err(StorageError::io("write", name))
}

pub(super) fn read_file<F, T>(files: &mut F, name: &str) -> Result<T, StorageError>
where
    F: FileSystem,
    T: DeserializeOwned,
{
    let bytes = files.read(name).map_err(StorageError::io("read", name))?;
    let corrupted = |corruption| StorageError::corrupted(name, 0, corruption);
    match Record::decode(&bytes) {
        Some((record, length)) if length == bytes.len() => {
            postcard::from_bytes(record.payload).map_err(|e| corrupted(Corruption::Encoding(e)))
        }
        _ => Err(corrupted(Corruption::Checksum)),
    }
}

//! Snapshot files, and reading and writing of files with a single record.

use super::Wal;
use crate::{Corruption, FileSystem, Record, StorageError, disk_format::StoredSnapshot};
use mangospindle_consensus::Snapshot;
use serde::{Serialize, de::DeserializeOwned};

const FILE_NAME_PREFIX: &str = "snapshot-";

/// Name of a file until its content is durable.
const TEMPORARY_FILE_NAME: &str = "temporary";

pub(super) fn snapshot_file_name(index: u64) -> String {
    format!("{FILE_NAME_PREFIX}{index:020}")
}

/// Returns the index of the snapshot, or `None` if this is not the name of a snapshot file.
pub(super) fn parse_snapshot_file_name(name: &str) -> Option<u64> {
    name.strip_prefix(FILE_NAME_PREFIX)?.parse().ok()
}

impl<F> Wal<F>
where
    F: FileSystem,
{
    /// Saves a snapshot of the replica's own state and removes the segments whose entries it
    /// includes. The snapshot is durable when the method returns.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.run_operation(|wal| {
            wal.write_snapshot(snapshot)?;
            wal.start_segment(false)?;
            wal.remove_covered_files(snapshot.index)
        })
    }

    /// Replaces all entries by a snapshot from the leader. The snapshot is durable when the method
    /// returns.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.run_operation(|wal| {
            wal.write_snapshot(snapshot)?;
            wal.start_segment(true)?;
            wal.last_entry = Some((snapshot.index, snapshot.term));
            for segment in &mut wal.segments {
                segment.last_index = 0;
            }
            wal.remove_covered_files(snapshot.index)
        })
    }

    /// Writes a snapshot file. Syncs earlier records first, so that a crash cannot keep the
    /// snapshot and lose them.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.sync_segment()?;
        let content = StoredSnapshot::from(snapshot);
        write_record_file(
            &mut self.file_system,
            &snapshot_file_name(snapshot.index),
            &content,
        )?;
        self.snapshot_index = snapshot.index;
        Ok(())
    }

    /// Removes the snapshots before `index`, and the oldest segments up to the first that holds an
    /// entry after `index`. Keeps the last segment.
    pub(super) fn remove_covered_files(&mut self, index: u64) -> Result<(), StorageError> {
        let names = self.file_system.list();
        let names = names.map_err(StorageError::io("list", "the data directory"))?;
        let older = |name: &&String| parse_snapshot_file_name(name).is_some_and(|i| i < index);
        for name in names.iter().filter(older) {
            self.remove_file(name)?;
        }
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = self.segments.remove(0).file_name();
            self.remove_file(&name)?;
        }
        Ok(())
    }
}

/// Atomically writes a file with a single record: after a crash it is complete or not present.
pub(super) fn write_record_file<F, T>(
    file_system: &mut F,
    name: &str,
    content: &T,
) -> Result<(), StorageError>
where
    F: FileSystem,
    T: Serialize,
{
    let mut buf = Vec::new();
    let record = Record {
        sequence: 0,
        synced_sequence: 0,
        payload: &postcard::to_stdvec(content)?,
    };
    record.encode(&mut buf);
    write_file(file_system, name, &buf)
}

/// Atomically writes or replaces a file: after a crash it has the old content or the new one.
pub(super) fn write_file<F>(
    file_system: &mut F,
    name: &str,
    content: &[u8],
) -> Result<(), StorageError>
where
    F: FileSystem,
{
    file_system
        .create(TEMPORARY_FILE_NAME)
        .and_then(|()| file_system.append(TEMPORARY_FILE_NAME, content))
        .and_then(|()| file_system.sync(TEMPORARY_FILE_NAME))
        .and_then(|()| file_system.rename(TEMPORARY_FILE_NAME, name))
        .and_then(|()| file_system.sync_directory())
        .map_err(StorageError::io("write", name))
}

/// Reads a file with a single record.
pub(super) fn read_record_file<F, T>(file_system: &mut F, name: &str) -> Result<T, StorageError>
where
    F: FileSystem,
    T: DeserializeOwned,
{
    let bytes = file_system
        .read(name)
        .map_err(StorageError::io("read", name))?;
    let corrupted = |corruption| StorageError::corrupted(name, 0, corruption);
    match Record::decode(&bytes) {
        Some((record, length)) if length == bytes.len() => {
            postcard::from_bytes(record.payload).map_err(|e| corrupted(Corruption::Encoding(e)))
        }
        _ => Err(corrupted(Corruption::Checksum)),
    }
}

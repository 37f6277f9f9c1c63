//! Opening a data directory and recovering its state.

use super::{
    Wal,
    snapshot::{
        parse_snapshot_file_name, read_record_file, snapshot_file_name, write_file,
        write_record_file,
    },
};
use crate::{
    Corruption, DataDirectory, FileSystem, Replay, Segment, StorageError, WalOptions,
    disk_format::{StoredIdentity, StoredSnapshot},
};
use mangospindle_consensus::{HardState, RecoveredState, Snapshot, StorageId};
use std::path::Path;
use uuid::Uuid;

const IDENTITY_FILE_NAME: &str = "identity";

impl Wal {
    /// Opens or creates the data directory at `path` and recovers the state that it holds.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Locked`] if the directory is already open,
    /// [`StorageError::Corrupted`] if its content is invalid, and [`StorageError::Io`] if a file
    /// operation fails.
    pub fn open(path: &Path, options: WalOptions) -> Result<(Self, RecoveredState), StorageError> {
        Self::open_with(DataDirectory::open(path)?, options)
    }
}

impl<F> Wal<F>
where
    F: FileSystem,
{
    /// Opens the data directory that `file_system` accesses and recovers the state that it holds.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Wal::open`], except [`StorageError::Locked`], because it does
    /// not lock the directory.
    pub fn open_with(
        mut file_system: F,
        options: WalOptions,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let names = file_system.list();
        let names = names.map_err(StorageError::io("list", "the data directory"))?;
        let snapshot = read_snapshot(&mut file_system, &names)?;
        let mut segments: Vec<_> = names
            .iter()
            .filter_map(|n| Segment::from_file_name(n))
            .collect();
        segments.sort_unstable_by_key(|s| s.first_sequence);
        let mut replay = read_segments(&mut file_system, &mut segments)?;
        let has_state = snapshot.is_some()
            || !replay.entries.is_empty()
            || replay.required_snapshot > 0
            || replay.hard_state != HardState::default();
        let missing = |name| Err(StorageError::corrupted(name, 0, Corruption::MissingFile));
        let identity = match names.iter().any(|n| n == IDENTITY_FILE_NAME) {
            true if replay.next_sequence.is_none() => return missing("wal"),
            true => Some(read_identity(&mut file_system)?),
            false if has_state => return missing(IDENTITY_FILE_NAME),
            false => None,
        };
        let latest_snapshot = snapshot.as_ref().map_or(0, |s| s.index);
        replay
            .apply_snapshot(snapshot.as_ref())
            .map_err(|corruption| {
                let name = snapshot_file_name(latest_snapshot.max(replay.required_snapshot));
                StorageError::corrupted(&name, 0, corruption)
            })?;
        let mut wal = Self {
            file_system,
            options,
            storage: identity.unwrap_or_else(|| StorageId(Uuid::new_v4())),
            segments,
            next_sequence: replay.next_sequence.unwrap_or(1),
            synced_sequence: replay.next_sequence.map_or(0, |next| next - 1),
            hard_state: replay.hard_state.clone(),
            snapshot_index: latest_snapshot,
            last_entry: replay.entries.last().map(|e| (e.index, e.term)),
            failed: false,
        };
        wal.start_segment(replay.entries.is_empty())?;
        if identity.is_none() {
            // The first segment is durable by now, so an identity without a segment means
            // corruption.
            let identity = StoredIdentity::from(wal.storage);
            write_record_file(&mut wal.file_system, IDENTITY_FILE_NAME, &identity)?;
        }
        wal.remove_covered_files(latest_snapshot)?;
        let recovered = RecoveredState {
            hard_state: replay.hard_state,
            snapshot,
            entries: replay.entries,
        };
        Ok((wal, recovered))
    }
}

fn read_identity<F>(file_system: &mut F) -> Result<StorageId, StorageError>
where
    F: FileSystem,
{
    let identity: StoredIdentity = read_record_file(file_system, IDENTITY_FILE_NAME)?;
    StorageId::try_from(identity)
        .map_err(|corruption| StorageError::corrupted(IDENTITY_FILE_NAME, 0, corruption))
}

/// Reads the latest snapshot, if there is one. It must be intact, because a snapshot file is synced
/// before it is renamed to its final name.
fn read_snapshot<F>(file_system: &mut F, names: &[String]) -> Result<Option<Snapshot>, StorageError>
where
    F: FileSystem,
{
    let Some(index) = names
        .iter()
        .filter_map(|n| parse_snapshot_file_name(n))
        .max()
    else {
        return Ok(None);
    };
    let name = snapshot_file_name(index);
    let snapshot: StoredSnapshot = read_record_file(file_system, &name)?;
    let snapshot = Snapshot::try_from(snapshot);
    snapshot
        .map(Some)
        .map_err(|corruption| StorageError::corrupted(&name, 0, corruption))
}

/// Replays all segments. Writes the last one again, without a torn write at its end.
///
/// A process that was killed may have written the last segment without a sync, or its last sync may have
/// failed. After a failed sync, the operating system may return data that it never writes to the disk,
/// even after a later sync of the same file. A new file makes all data durable that is recovered.
fn read_segments<F>(
    file_system: &mut F,
    segments: &mut Vec<Segment>,
) -> Result<Replay, StorageError>
where
    F: FileSystem,
{
    let mut replay = Replay::default();
    let segment_count = segments.len();
    for (position, segment) in segments.iter_mut().enumerate() {
        let name = segment.file_name();
        let bytes = file_system
            .read(&name)
            .map_err(StorageError::io("read", &name))?;
        let is_last = position + 1 == segment_count;
        let intact_bytes = replay.replay_segment(segment, &bytes, is_last)?;
        if is_last && intact_bytes < bytes.len() {
            log::warn!(
                "truncating {name} at byte {intact_bytes} of {}: the rest was not synced",
                bytes.len()
            );
        }
        if is_last {
            write_file(file_system, &name, &bytes[..intact_bytes])?;
        }
    }
    // `Wal::start_segment` creates a segment without records again under the same name.
    segments.retain(|segment| segment.size_bytes > 0);
    Ok(replay)
}

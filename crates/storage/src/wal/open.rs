//! Opening a data directory.

use super::{
    Wal,
    snapshot::{TEMPORARY, read_file, snapshot_index, snapshot_name, write_file},
};
use crate::{
    Corruption, DataDirectory, FileSystem, Replay, Segment, StorageError, WalOptions,
    disk_format::{StoredIdentity, StoredSnapshot},
};
use mangospindle_consensus::{HardState, RecoveredState, Snapshot, StorageId};
use std::path::Path;
use uuid::Uuid;

const IDENTITY: &str = "identity";

impl Wal {
    /// Opens or creates a data directory and reads what it holds.
    pub fn open(path: &Path, options: WalOptions) -> Result<(Self, RecoveredState), StorageError> {
        Self::open_with(DataDirectory::open(path)?, options)
    }
}

impl<F> Wal<F>
where
    F: FileSystem,
{
    /// Opens a data directory through other file operations.
    pub fn open_with(
        mut files: F,
        options: WalOptions,
    ) -> Result<(Self, RecoveredState), StorageError> {
        let names = files.list();
        let names = names.map_err(StorageError::io("list", "the data directory"))?;
        let snapshot = read_snapshot(&mut files, &names)?;
        let mut segments: Vec<_> = names.iter().filter_map(|n| Segment::parse(n)).collect();
        segments.sort_unstable_by_key(|s| s.first);
        let mut replay = read_segments(&mut files, &mut segments)?;
        let used = snapshot.is_some()
            || !replay.entries.is_empty()
            || replay.snapshot > 0
            || replay.hard_state != HardState::default();
        let missing = |name| Err(StorageError::corrupted(name, 0, Corruption::MissingFile));
        let identity = match names.iter().any(|n| n == IDENTITY) {
            true if replay.next.is_none() => return missing("wal"),
            true => Some(read_identity(&mut files)?),
            false if used => return missing(IDENTITY),
            false => None,
        };
        let found = snapshot.as_ref().map_or(0, |s| s.index);
        replay.rebase(snapshot.as_ref()).map_err(|corruption| {
            let name = snapshot_name(found.max(replay.snapshot));
            StorageError::corrupted(&name, 0, corruption)
        })?;
        let mut wal = Self {
            files,
            options,
            storage: identity.unwrap_or_else(|| StorageId(Uuid::new_v4())),
            segments,
            next: replay.next.unwrap_or(1),
            synced: replay.next.map_or(0, |next| next - 1),
            hard_state: replay.hard_state.clone(),
            snapshot: found,
            last: replay.entries.last().map(|e| (e.index, e.term)),
            stopped: false,
        };
        wal.start_segment(replay.entries.is_empty())?;
        if identity.is_none() {
            // Written after the first segment, so that an identity without one is damage.
            let identity = StoredIdentity::from(wal.storage);
            write_file(&mut wal.files, IDENTITY, &identity)?;
        }
        if names.iter().any(|n| n == TEMPORARY) && identity.is_some() {
            wal.remove(TEMPORARY)?;
        }
        wal.remove_covered(found)?;
        let recovered = RecoveredState {
            hard_state: replay.hard_state,
            snapshot,
            entries: replay.entries,
        };
        Ok((wal, recovered))
    }
}

fn read_identity<F>(files: &mut F) -> Result<StorageId, StorageError>
where
    F: FileSystem,
{
    let identity: StoredIdentity = read_file(files, IDENTITY)?;
    StorageId::try_from(identity)
        .map_err(|corruption| StorageError::corrupted(IDENTITY, 0, corruption))
}

/// Reads the latest snapshot. It was synced before it got its name.
fn read_snapshot<F>(files: &mut F, names: &[String]) -> Result<Option<Snapshot>, StorageError>
where
    F: FileSystem,
{
    let Some(index) = names.iter().filter_map(|n| snapshot_index(n)).max() else {
        return Ok(None);
    };
    let name = snapshot_name(index);
    let snapshot: StoredSnapshot = read_file(files, &name)?;
    let snapshot = Snapshot::try_from(snapshot);
    snapshot
        .map(Some)
        .map_err(|corruption| StorageError::corrupted(&name, 0, corruption))
}

/// Reads all segments, cuts a torn tail, and makes durable what is kept: a process that was killed
/// may have written it without a sync.
fn read_segments<F>(files: &mut F, segments: &mut Vec<Segment>) -> Result<Replay, StorageError>
where
    F: FileSystem,
{
    let mut replay = Replay::default();
    let count = segments.len();
    for (position, segment) in segments.iter_mut().enumerate() {
        let name = segment.name();
        let bytes = files.read(&name).map_err(StorageError::io("read", &name))?;
        let is_last = position + 1 == count;
        let intact = replay.read(segment, &bytes, is_last)?;
        if is_last && intact < bytes.len() {
            log::warn!(
                "cutting {name} at byte {intact} of {}: the rest was not synced",
                bytes.len()
            );
        }
        if is_last {
            files
                .truncate(&name, intact as u64)
                .map_err(StorageError::io("truncate", &name))?;
        }
    }
    // A segment without records is created anew under the same name.
    segments.retain(|segment| segment.bytes > 0);
    Ok(replay)
}

//! Opening the data directory of a replica, at the start and after a failure of its disk.

use crate::audit_export::{AuditExport, AuditFile};
use mangospindle_consensus::RecoveredState;
use mangospindle_model::Clock;
use mangospindle_state::{DecodeError, State};
use mangospindle_storage::{StorageError, Wal, WalOptions};
use mangospindle_telemetry::event;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Delay before the first attempt to open the directory again.
const FIRST_RETRY: Duration = Duration::from_millis(250);

/// Maximum delay between two attempts. Each one reads the whole log.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// What was read from a data directory, open for writing.
#[derive(Debug)]
pub(crate) struct OpenedDisk {
    pub(crate) wal: Wal,
    pub(crate) recovered: RecoveredState,
    /// The state of the snapshot, or an empty one.
    pub(crate) state: State,
    pub(crate) audit: AuditExport,
    pub(crate) audit_file: AuditFile,
}

/// Why a data directory cannot be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OpenError {
    /// The log cannot be opened.
    #[error("cannot open the log: {0}{cause}", cause = cause(.0))]
    Log(#[from] StorageError),
    /// The exported audit trail cannot be opened.
    #[error("cannot open the exported audit trail: {0}")]
    Audit(#[from] io::Error),
    /// The snapshot holds no state of this build.
    #[error("cannot decode the snapshot: {0}")]
    Snapshot(#[from] DecodeError),
}

impl OpenError {
    /// Whether a later attempt may succeed.
    fn is_temporary(&self) -> bool {
        match self {
            OpenError::Log(StorageError::Corrupted { .. }) | OpenError::Snapshot(_) => false,
            OpenError::Log(_) | OpenError::Audit(_) => true,
        }
    }
}

fn cause(error: &StorageError) -> String {
    std::error::Error::source(error).map_or_else(String::new, |source| format!(": {source}"))
}

/// Opens a data directory and recovers what it holds.
pub(crate) fn open_disk(data_dir: &Path) -> Result<OpenedDisk, OpenError> {
    let (wal, recovered) = Wal::open(data_dir, WalOptions::default())?;
    let (audit, audit_file) = AuditExport::open(data_dir)?;
    let state = match &recovered.snapshot {
        Some(snapshot) => State::decode(&snapshot.data)?,
        None => State::new(),
    };
    event!(
        Info,
        "recovered",
        "storage" => wal.storage_id().0,
        "snapshot_index" => recovered.snapshot.as_ref().map_or(0, |s| s.index),
        "entries" => recovered.entries.len(),
        "term" => recovered.hard_state.term,
    );
    Ok(OpenedDisk {
        wal,
        recovered,
        state,
        audit,
        audit_file,
    })
}

/// Starts a thread that opens a data directory again after its disk has failed, until that succeeds or
/// cannot succeed any more. `writer` is the thread that has it open. `is_wanted` is asked before each
/// attempt.
pub(crate) fn start_reopening<W, F>(
    data_dir: PathBuf,
    writer: Option<JoinHandle<()>>,
    clock: Arc<dyn Clock>,
    is_wanted: W,
    on_opened: F,
) -> io::Result<()>
where
    W: Fn() -> bool + Send + 'static,
    F: FnOnce(OpenedDisk) + Send + 'static,
{
    let thread = std::thread::Builder::new().name("disk-reopen".to_string());
    thread.spawn(move || {
        let failed_at = clock.now();
        // A disk that hangs delays the end of the thread.
        if writer.is_some_and(|thread| thread.join().is_err()) {
            event!(Error, "disk_thread_panicked");
        }
        if let Some(opened) = reopen(&data_dir, is_wanted) {
            let out_of_service = clock.now().saturating_sub(failed_at);
            event!(Warn, "disk_recovered", "after_ms" => out_of_service.as_millis());
            on_opened(opened);
        }
    })?;
    Ok(())
}

fn reopen<W>(data_dir: &Path, is_wanted: W) -> Option<OpenedDisk>
where
    W: Fn() -> bool,
{
    let mut delay = FIRST_RETRY;
    loop {
        std::thread::sleep(delay);
        if !is_wanted() {
            return None;
        }
        match open_disk(data_dir) {
            Ok(opened) => return Some(opened),
            Err(e) if e.is_temporary() => {
                event!(Info, "disk_still_failed", "reason" => e);
                delay = MAX_RETRY.min(delay * 2);
            }
            Err(e) => {
                event!(Error, "disk_unusable", "reason" => e,
                    "effect" => "this replica accepts and confirms nothing until it is restarted");
                return None;
            }
        }
    }
}

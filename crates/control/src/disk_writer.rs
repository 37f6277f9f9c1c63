use crate::audit_export::AuditFile;
use mangospindle_consensus::{Entry, HardState, Snapshot};
use mangospindle_model::Clock;
use mangospindle_storage::{StorageError, Wal};
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::Duration;

/// Jobs that share one sync at most. Bounds the time until the first of them is answered.
const MAX_BATCH: usize = 1024;

/// Work for the disk thread.
#[derive(Debug)]
pub(crate) enum DiskWrite {
    /// Write the hard state.
    HardState(HardState),
    /// Cut the log at the first entry and append.
    Entries(Vec<Entry>),
    /// Replace the log by a snapshot from the leader.
    InstallSnapshot(Snapshot),
    /// Write the replica's own snapshot and drop the entries that it replaces.
    SaveSnapshot(Snapshot),
    /// Append lines to the exported audit trail.
    Audit(Vec<u8>),
}

/// Everything up to a job is synced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SyncedBatch {
    /// Number of the last job.
    pub(crate) job: u64,
    /// Position and term of the last synced entry, if the batch needed a sync.
    pub(crate) position: Option<(u64, u64)>,
    /// Time of the sync; `None` if the batch needed none.
    pub(crate) sync_time: Option<Duration>,
}

/// Why the disk thread stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DiskError {
    /// The log could not be written or synced.
    #[error("{0}: {cause}", cause = std::error::Error::source(.0).map_or_else(String::new, ToString::to_string))]
    Log(#[from] StorageError),
    /// The exported audit trail could not be written.
    #[error("the audit trail cannot be written: {0}")]
    Audit(#[from] io::Error),
}

/// The thread that writes and syncs, so that a slow sync delays no heartbeat.
///
/// Jobs that arrive during a sync are written together and share the next one.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    jobs: Sender<(u64, DiskWrite)>,
    last: u64,
}

impl DiskWriter {
    /// Starts the thread, which ends when this value is dropped. `done` is called after each sync, and once with an error, after which
    /// nothing more is written.
    pub(crate) fn start<F>(
        wal: Wal,
        audit: AuditFile,
        clock: Arc<dyn Clock>,
        done: F,
    ) -> io::Result<DiskWriter>
    where
        F: Fn(Result<SyncedBatch, DiskError>) + Send + 'static,
    {
        let (jobs, receiver) = mpsc::channel();
        let mut writer = DiskThread { wal, audit, clock };
        std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || writer.run(&receiver, &done))?;
        Ok(DiskWriter { jobs, last: 0 })
    }

    /// Queues a job and returns its number.
    pub(crate) fn submit(&mut self, job: DiskWrite) -> u64 {
        self.last += 1;
        // Without a receiver the thread has already reported its error.
        let _ = self.jobs.send((self.last, job));
        self.last
    }
}

struct DiskThread {
    wal: Wal,
    audit: AuditFile,
    clock: Arc<dyn Clock>,
}

impl DiskThread {
    fn run<F>(&mut self, jobs: &Receiver<(u64, DiskWrite)>, done: &F)
    where
        F: Fn(Result<SyncedBatch, DiskError>),
    {
        while let Ok(first) = jobs.recv() {
            let batch = std::iter::once(first).chain(jobs.try_iter().take(MAX_BATCH));
            let result = self.write(batch);
            let failed = result.is_err();
            done(result);
            if failed {
                return;
            }
        }
    }

    fn write<I>(&mut self, batch: I) -> Result<SyncedBatch, DiskError>
    where
        I: Iterator<Item = (u64, DiskWrite)>,
    {
        let mut job = 0;
        let mut position = None;
        let mut sync_time = None;
        let mut dirty = false;
        for (number, content) in batch {
            job = number;
            dirty |= !matches!(content, DiskWrite::Audit(_));
            match content {
                DiskWrite::HardState(state) => self.wal.save_hard_state(&state)?,
                DiskWrite::Entries(entries) => self.wal.append(&entries)?,
                DiskWrite::InstallSnapshot(snapshot) => self.wal.install_snapshot(&snapshot)?,
                DiskWrite::SaveSnapshot(snapshot) => self.wal.save_snapshot(&snapshot)?,
                DiskWrite::Audit(lines) => self.audit.append(&lines)?,
            }
        }
        if dirty {
            let start = self.clock.now();
            position = self.wal.sync()?;
            sync_time = Some(self.clock.now().saturating_sub(start));
        }
        Ok(SyncedBatch {
            job,
            position,
            sync_time,
        })
    }
}

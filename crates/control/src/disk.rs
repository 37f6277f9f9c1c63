use crate::audit_export::AuditFile;
use mangospindle_consensus::{Entry, HardState, Snapshot};
use mangospindle_model::Clock;
use mangospindle_state::EncodedAuditRecord;
use mangospindle_storage::{StorageError, Wal};
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;

/// Maximum number of writes that share one sync. Bounds the latency of the first write of a batch.
const MAX_BATCH_WRITES: usize = 1024;

/// A write request to the disk thread.
#[derive(Debug)]
pub(crate) enum DiskWrite {
    /// Save the hard state.
    HardState(HardState),
    /// Truncate the log at the index of the first entry, then append.
    Entries(Vec<Entry>),
    /// Replace the log with a snapshot from the leader.
    InstallSnapshot(Snapshot),
    /// Save the replica's own snapshot and drop the log entries that it covers.
    SaveSnapshot(Snapshot),
    /// Append records to the exported audit trail.
    Audit(Vec<EncodedAuditRecord>),
}

/// A batch of writes that has been synced.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SyncedBatch {
    /// Number of the last write of the batch. All earlier writes are synced as well.
    pub(crate) last_write: u64,
    /// Index and term of the last synced log entry, if the batch needed a sync.
    pub(crate) last_entry: Option<(u64, u64)>,
    /// Duration of the sync; `None` if the batch needed none.
    pub(crate) sync_duration: Option<Duration>,
    /// Size of the exported audit files after the batch, in bytes.
    pub(crate) audit_file_bytes: u64,
}

/// Why the disk thread stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DiskError {
    /// The write-ahead log could not be written or synced.
    #[error("{0}: {cause}", cause = std::error::Error::source(.0).map_or_else(String::new, ToString::to_string))]
    Log(#[from] StorageError),
    /// The exported audit trail could not be written.
    #[error("cannot write the exported audit trail: {0}")]
    Audit(#[from] io::Error),
}

/// Handle of the thread that writes and syncs. A slow sync on that thread delays no heartbeat.
///
/// Writes that arrive during a sync form a batch and share the next sync.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    /// `None` once it is closed.
    writes: Option<Sender<(u64, DiskWrite)>>,
    thread: Option<JoinHandle<()>>,
    last_number: u64,
}

impl DiskWriter {
    /// Starts the thread, which ends when this value is closed or dropped. `on_batch` is called after
    /// each batch. After a call with an error, nothing more is written.
    pub(crate) fn start<F>(
        wal: Wal,
        audit: AuditFile,
        clock: Arc<dyn Clock>,
        on_batch: F,
    ) -> io::Result<DiskWriter>
    where
        F: Fn(Result<SyncedBatch, DiskError>) + Send + 'static,
    {
        let (writes, receiver) = mpsc::channel();
        let mut disk_thread = DiskThread { wal, audit, clock };
        let thread = std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(move || disk_thread.run(&receiver, &on_batch))?;
        Ok(DiskWriter {
            writes: Some(writes),
            thread: Some(thread),
            last_number: 0,
        })
    }

    /// Queues a write and returns its number.
    pub(crate) fn submit(&mut self, write: DiskWrite) -> u64 {
        self.last_number += 1;
        if let Some(writes) = &self.writes {
            // If the receiver is gone, the thread has already reported its error.
            let _ = writes.send((self.last_number, write));
        }
        self.last_number
    }

    /// Accepts no further writes. The thread, if it was not returned before, holds the data directory
    /// until it ends.
    pub(crate) fn close(&mut self) -> Option<JoinHandle<()>> {
        self.writes = None;
        self.thread.take()
    }
}

struct DiskThread {
    wal: Wal,
    audit: AuditFile,
    clock: Arc<dyn Clock>,
}

impl DiskThread {
    fn run<F>(&mut self, writes: &Receiver<(u64, DiskWrite)>, on_batch: &F)
    where
        F: Fn(Result<SyncedBatch, DiskError>),
    {
        while let Ok(first) = writes.recv() {
            let batch = std::iter::once(first).chain(writes.try_iter().take(MAX_BATCH_WRITES));
            let result = self.write_batch(batch);
            let failed = result.is_err();
            on_batch(result);
            if failed {
                return;
            }
        }
    }

    fn write_batch<I>(&mut self, batch: I) -> Result<SyncedBatch, DiskError>
    where
        I: Iterator<Item = (u64, DiskWrite)>,
    {
        let mut last_write = 0;
        let mut last_entry = None;
        let mut sync_duration = None;
        let mut needs_sync = false;
        let mut needs_audit_sync = false;
        for (number, operation) in batch {
            last_write = number;
            match operation {
                DiskWrite::Audit(_) => needs_audit_sync = true,
                _ => needs_sync = true,
            }
            match operation {
                DiskWrite::HardState(state) => self.wal.save_hard_state(&state)?,
                DiskWrite::Entries(entries) => self.wal.append(&entries)?,
                DiskWrite::InstallSnapshot(snapshot) => self.wal.install_snapshot(&snapshot)?,
                DiskWrite::SaveSnapshot(snapshot) => self.wal.save_snapshot(&snapshot)?,
                DiskWrite::Audit(records) => self.audit.append(&records)?,
            }
        }
        if needs_sync {
            let start = self.clock.now();
            last_entry = self.wal.sync()?;
            sync_duration = Some(self.clock.now().saturating_sub(start));
        }
        if needs_audit_sync {
            self.audit.sync()?;
        }
        Ok(SyncedBatch {
            last_write,
            last_entry,
            sync_duration,
            audit_file_bytes: self.audit.total_bytes(),
        })
    }
}

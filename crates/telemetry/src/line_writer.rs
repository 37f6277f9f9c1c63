use crate::line_class::LineClass;
use crate::line_limiter::LineLimiter;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Instant;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY: usize = 1_024;

/// Queue slots that only lines about the process may use, so that a flood of lines about requests
/// does not fill the queue while the output is blocked.
const PROCESS_LINE_RESERVE: usize = 256;

/// Writes lines on a dedicated thread, so that a blocked output never blocks the callers.
///
/// Lines above the queue capacity or the rate limit of their class are dropped. The number of
/// dropped lines is written as a `log_lines_dropped` line.
#[derive(Clone)]
pub struct LineWriter {
    lines: SyncSender<String>,
    dropped: Arc<DropCounter>,
    /// Lines in the queue.
    queued: Arc<AtomicUsize>,
}

/// Counts dropped lines.
#[derive(Debug, Default)]
struct DropCounter {
    total: AtomicU64,
    /// Dropped lines that no `log_lines_dropped` line has reported yet.
    unreported: AtomicU64,
}

impl DropCounter {
    fn increment(&self) {
        self.total.fetch_add(1, Ordering::Relaxed);
        self.unreported.fetch_add(1, Ordering::Relaxed);
    }
}

impl LineWriter {
    /// Starts the writer thread. The thread exits once all clones of the writer are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be spawned.
    pub fn start<W>(out: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, receiver) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(DropCounter::default());
        let queued = Arc::new(AtomicUsize::new(0));
        let writer = LineWriter {
            lines,
            dropped: Arc::clone(&dropped),
            queued: Arc::clone(&queued),
        };
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_lines(&receiver, out, &dropped, &queued))?;
        Ok(writer)
    }

    /// Queues a line for the writer thread, or drops it if the queue is full. Never blocks.
    pub fn write(&self, line: String) {
        let reserve = match LineClass::of(&line) {
            LineClass::Request => PROCESS_LINE_RESERVE,
            LineClass::Process => 0,
        };
        if self.queued.load(Ordering::Relaxed) + reserve >= QUEUE_CAPACITY {
            self.dropped.increment();
            return;
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.queued.fetch_sub(1, Ordering::Relaxed);
                self.dropped.increment();
            }
        }
    }

    /// Returns the number of lines dropped since the writer was started.
    pub fn dropped(&self) -> u64 {
        self.dropped.total.load(Ordering::Relaxed)
    }
}

fn write_lines<W>(lines: &Receiver<String>, mut out: W, dropped: &DropCounter, queued: &AtomicUsize)
where
    W: Write,
{
    let started_at = Instant::now();
    let mut limiter = LineLimiter::default();
    while let Ok(line) = lines.recv() {
        queued.fetch_sub(1, Ordering::Relaxed);
        if limiter.advance(started_at.elapsed()) {
            let count = dropped.unreported.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(
                    out,
                    "{{\"event\":\"log_lines_dropped\",\"count\":\"{count}\"}}"
                );
            }
        }
        if !limiter.allow(LineClass::of(&line)) {
            dropped.increment();
            continue;
        }
        // Write errors are ignored: there is no other output to report them to.
        let _ = writeln!(out, "{line}");
    }
}

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of lines written per second. Above this rate, a process spends more time on
/// logging requests than on serving them.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Writes lines on a dedicated thread, so that a blocked output never blocks the callers.
///
/// Lines above the queue capacity or the rate limit are dropped. The number of dropped lines is
/// written as a `log_lines_dropped` line.
#[derive(Clone)]
pub struct LineWriter {
    lines: SyncSender<String>,
    dropped: Arc<DropCounter>,
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
        let counter = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_lines(&receiver, out, &counter))?;
        Ok(LineWriter { lines, dropped })
    }

    /// Queues a line for the writer thread, or drops it if the queue is full. Never blocks.
    pub fn write(&self, line: String) {
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.increment();
            }
        }
    }

    /// Returns the number of lines dropped since the writer was started.
    pub fn dropped(&self) -> u64 {
        self.dropped.total.load(Ordering::Relaxed)
    }
}

fn write_lines<W>(lines: &Receiver<String>, mut out: W, dropped: &DropCounter)
where
    W: Write,
{
    let mut window_start = Instant::now();
    let mut lines_in_window = 0;
    while let Ok(line) = lines.recv() {
        if window_start.elapsed() >= Duration::from_secs(1) {
            window_start = Instant::now();
            lines_in_window = 0;
            let count = dropped.unreported.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(
                    out,
                    "{{\"event\":\"log_lines_dropped\",\"count\":\"{count}\"}}"
                );
            }
        }
        lines_in_window += 1;
        if lines_in_window > MAX_LINES_PER_SECOND {
            dropped.increment();
            continue;
        }
        // Write errors are ignored: there is no other output to report them to.
        let _ = writeln!(out, "{line}");
    }
}

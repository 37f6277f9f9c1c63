use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines that wait for a reader that does not read.
const QUEUED_LINES: usize = 1_024;

/// Lines that are written in any second. Above it, a process spends more on lines about requests
/// than on the requests.
const LINES_PER_SECOND: u32 = 200;

/// Writes lines on a thread of its own, so that a reader that stops reading delays nobody.
///
/// Lines beyond the limits are dropped and counted; the count is a line of its own.
#[derive(Clone)]
pub struct LineWriter {
    lines: SyncSender<String>,
    dropped: Arc<Dropped>,
}

/// Lines that were not written.
#[derive(Debug, Default)]
struct Dropped {
    total: AtomicU64,
    /// Those that no line has told yet.
    untold: AtomicU64,
}

impl Dropped {
    fn count(&self) {
        self.total.fetch_add(1, Ordering::Relaxed);
        self.untold.fetch_add(1, Ordering::Relaxed);
    }
}

impl LineWriter {
    /// Starts the thread. It ends with the last clone of the writer.
    pub fn start<W>(out: W) -> std::io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (lines, receiver) = sync_channel(QUEUED_LINES);
        let dropped = Arc::new(Dropped::default());
        let counter = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_lines(&receiver, out, &counter))?;
        Ok(LineWriter { lines, dropped })
    }

    /// Hands a line to the thread. Never waits.
    pub fn write(&self, line: String) {
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.count();
            }
        }
    }

    /// Lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.total.load(Ordering::Relaxed)
    }
}

fn write_lines<W>(lines: &Receiver<String>, mut out: W, dropped: &Dropped)
where
    W: Write,
{
    let mut second = Instant::now();
    let mut written = 0;
    while let Ok(line) = lines.recv() {
        if second.elapsed() >= Duration::from_secs(1) {
            second = Instant::now();
            written = 0;
            let count = dropped.untold.swap(0, Ordering::Relaxed);
            if count > 0 {
                let _ = writeln!(
                    out,
                    "{{\"event\":\"log_lines_dropped\",\"count\":\"{count}\"}}"
                );
            }
        }
        written += 1;
        if written > LINES_PER_SECOND {
            dropped.count();
            continue;
        }
        // Without a reader there is nobody to tell.
        let _ = writeln!(out, "{line}");
    }
}

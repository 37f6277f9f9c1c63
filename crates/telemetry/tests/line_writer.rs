//! Lines that nobody reads.

use mangospindle_telemetry::LineWriter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Passes each write on once it is allowed.
struct Gated {
    allow: Receiver<()>,
    written: Sender<String>,
}

impl Write for Gated {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A closed gate lets everything pass.
        let _ = self.allow.recv();
        let text = String::from_utf8_lossy(buf).into_owned();
        let _ = self.written.send(text);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a reader that stops reading and delays requests, and against lines that are lost
/// without a trace.
#[test]
fn a_reader_that_does_not_read_delays_nobody() {
    let (open, allow) = channel();
    let (written, lines) = channel();
    let writer = LineWriter::start(Gated { allow, written }).expect("a thread");
    let started = Instant::now();
    for n in 0..20_000 {
        writer.write(format!("line {n}"));
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "{:?}",
        started.elapsed()
    );
    drop(open);
    std::thread::sleep(Duration::from_millis(1_200));
    writer.write("the last".to_string());
    drop(writer);
    let text: String = lines.iter().collect();
    assert!(text.contains("line 0\n"), "the first line is written");
    assert!(
        text.contains("log_lines_dropped"),
        "what was dropped is counted"
    );
    assert!(text.ends_with("the last\n"));
}

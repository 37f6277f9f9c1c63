//! [`LineWriter`] with a blocked output.

use mangospindle_telemetry::LineWriter;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Output that blocks each write until it receives a permit or the sender of permits is dropped.
struct BlockingOutput {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for BlockingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Once the sender is dropped, writes no longer block.
        let _ = self.permits.recv();
        let text = String::from_utf8_lossy(buf).into_owned();
        let _ = self.written.send(text);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a blocked output that delays requests, and against lines that are dropped without
/// being counted.
#[test]
fn blocked_output_does_not_block_writers() {
    let (permit_sender, permits) = channel();
    let (written, written_lines) = channel();
    let writer =
        LineWriter::start(BlockingOutput { permits, written }).expect("writer thread starts");
    let started = Instant::now();
    for n in 0..20_000 {
        writer.write(format!("line {n}"));
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "queuing the lines took {:?}",
        started.elapsed()
    );
    drop(permit_sender);
    std::thread::sleep(Duration::from_millis(1_200));
    writer.write("the last".to_string());
    drop(writer);
    let text: String = written_lines.iter().collect();
    assert!(text.contains("line 0\n"), "first line is missing");
    assert!(
        text.contains("log_lines_dropped"),
        "dropped lines are not reported"
    );
    assert!(text.ends_with("the last\n"));
}

/// Guards against lines about the stop of a process that are dropped because it logs many requests.
#[test]
fn request_lines_do_not_displace_process_lines() {
    struct Case {
        name: &'static str,
        /// Lines about requests that precede the line about the process.
        request_lines: usize,
        /// Whether the output is blocked until all lines are queued.
        blocked: bool,
    }
    let cases = [
        Case {
            name: "rate limit",
            request_lines: 600,
            blocked: false,
        },
        Case {
            name: "queue capacity",
            request_lines: 20_000,
            blocked: true,
        },
    ];
    for case in cases {
        let (permit_sender, permits) = channel();
        let (written, written_lines) = channel();
        let writer =
            LineWriter::start(BlockingOutput { permits, written }).expect("writer thread starts");
        let permit_sender = Some(permit_sender).filter(|_| case.blocked);
        for n in 0..case.request_lines {
            writer.write(format!(r#"{{"event":"request_refused","request":"{n}"}}"#));
        }
        writer.write(r#"{"event":"drain_started","in_progress":"3"}"#.to_string());
        drop(permit_sender);
        drop(writer);
        let text: String = written_lines.iter().collect();
        assert!(text.contains("drain_started"), "{}", case.name);
        let request_lines = text.matches("request_refused").count();
        assert!(
            request_lines < case.request_lines,
            "{}: all {request_lines} lines about requests were written",
            case.name
        );
    }
}

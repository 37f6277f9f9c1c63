use mangospindle_state::{AuditChange, AuditPage, AuditRecord};
use mangospindle_telemetry::event;
use serde_json::{Value, json};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Name of the file in the data directory.
const FILE_NAME: &str = "audit.jsonl";

/// Bytes read from the end of the file to find its last line. Records of changes are far smaller.
const TAIL_BYTES: u64 = 16 << 20;

/// Numbers the audit records that go to the exported file: each once, in order.
#[derive(Debug)]
pub(crate) struct AuditExport {
    exported: u64,
}

/// The exported file: one JSON object per line.
#[derive(Debug)]
pub(crate) struct AuditFile(File);

impl AuditExport {
    /// Opens the file, removes a line that was not written to its end, and finds the last record.
    pub(crate) fn open(data_dir: &Path) -> io::Result<(AuditExport, AuditFile)> {
        let mut options = OpenOptions::new();
        options.read(true).append(true).create(true);
        let mut file = options.open(data_dir.join(FILE_NAME))?;
        let length = file.metadata()?.len();
        let start = length.saturating_sub(TAIL_BYTES);
        file.seek(SeekFrom::Start(start))?;
        let mut tail = Vec::new();
        file.read_to_end(&mut tail)?;
        let complete = tail.iter().rposition(|b| *b == b'\n').map_or(0, |i| i + 1);
        if complete < tail.len() {
            file.set_len(start + complete as u64)?;
        }
        let last = BufReader::new(&tail[..complete]).split(b'\n').last();
        let exported = match last {
            None => 0,
            Some(line) => sequence(&line?)?,
        };
        Ok((AuditExport { exported }, AuditFile(file)))
    }

    /// Sequence number of the last record that was handed out.
    pub(crate) fn exported(&self) -> u64 {
        self.exported
    }

    /// Encodes the records of a page that were not handed out before.
    pub(crate) fn next_lines(&mut self, page: &AuditPage) -> Vec<u8> {
        let mut lines = Vec::new();
        for record in &page.records {
            if record.sequence <= self.exported {
                continue;
            }
            if record.sequence > self.exported + 1 {
                event!(
                    Warn,
                    "audit_gap",
                    "after" => self.exported,
                    "next" => record.sequence,
                    "reason" => "this replica was away for longer than the state keeps records",
                );
            }
            self.exported = record.sequence;
            lines.extend_from_slice(json_line(record).to_string().as_bytes());
            lines.push(b'\n');
        }
        lines
    }
}

impl AuditFile {
    pub(crate) fn append(&mut self, lines: &[u8]) -> io::Result<()> {
        self.0.write_all(lines)
    }
}

fn sequence(line: &[u8]) -> io::Result<u64> {
    let record: Value = serde_json::from_slice(line)?;
    record["sequence"]
        .as_u64()
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no sequence number"))
}

fn json_line(record: &AuditRecord) -> Value {
    let (before, after) = match &record.change {
        AuditChange::Bootstrap {
            entries,
            endpoints,
            profiles,
        } => (
            Value::Null,
            json!({"bootstrap": {"entries": entries, "endpoints": endpoints, "profiles": profiles}}),
        ),
        AuditChange::Config { before, after } => (json!(before), json!(after)),
    };
    json!({
        "sequence": record.sequence,
        "index": record.index,
        "leader_time_ms": record.leader_time_ms,
        "actor": record.actor,
        "request": record.request,
        "version": record.version,
        "before": before,
        "after": after,
    })
}

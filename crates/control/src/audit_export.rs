use mangospindle_state::{AuditChange, AuditPage, AuditRecord};
use mangospindle_telemetry::event;
use serde_json::{Value, json};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// Name of the exported file, in the data directory.
const FILE_NAME: &str = "audit.jsonl";

/// Bytes read from the end of the file to find its last record. A single record is far smaller.
const TAIL_BYTES: u64 = 16 << 20;

/// Selects the audit records to export, so that each is exported once and in sequence order.
#[derive(Debug)]
pub(crate) struct AuditExport {
    last_exported: u64,
}

/// The exported file: one JSON object per line.
#[derive(Debug)]
pub(crate) struct AuditFile(File);

impl AuditExport {
    /// Opens the file, truncates an incomplete record at its end, and finds the last complete record.
    pub(crate) fn open(data_dir: &Path) -> io::Result<(AuditExport, AuditFile)> {
        let mut options = OpenOptions::new();
        options.read(true).append(true).create(true);
        let mut file = options.open(data_dir.join(FILE_NAME))?;
        let length = file.metadata()?.len();
        let start = length.saturating_sub(TAIL_BYTES);
        file.seek(SeekFrom::Start(start))?;
        let mut tail = Vec::new();
        file.read_to_end(&mut tail)?;
        let (complete_len, last_exported) = find_last_record(&tail);
        if complete_len < tail.len() {
            event!(Warn, "audit_tail_cut", "bytes" => tail.len() - complete_len);
            file.set_len(start + complete_len as u64)?;
        }
        Ok((AuditExport { last_exported }, AuditFile(file)))
    }

    /// Sequence number of the last exported record.
    pub(crate) fn last_exported(&self) -> u64 {
        self.last_exported
    }

    /// Encodes the records of a page that have not been exported yet, one JSON object per line.
    pub(crate) fn encode_new_records(&mut self, page: &AuditPage) -> Vec<u8> {
        let mut lines = Vec::new();
        for record in &page.records {
            if record.sequence <= self.last_exported {
                continue;
            }
            if record.sequence > self.last_exported + 1 {
                event!(
                    Warn,
                    "audit_gap",
                    "after" => self.last_exported,
                    "next" => record.sequence,
                    "reason" => "this replica was away for longer than the state keeps records",
                );
            }
            self.last_exported = record.sequence;
            lines.extend_from_slice(record_to_json(record).to_string().as_bytes());
            lines.push(b'\n');
        }
        lines
    }
}

impl AuditFile {
    /// Appends lines and syncs the file. The replicated state drops old records, so an exported
    /// record must survive a crash.
    pub(crate) fn append(&mut self, lines: &[u8]) -> io::Result<()> {
        self.0.write_all(lines)?;
        self.0.sync_data()
    }
}

/// Returns the end offset and the sequence number of the last complete record. Data after that
/// offset is an incomplete write, and its records are exported again.
fn find_last_record(text: &[u8]) -> (usize, u64) {
    let mut end = text.len();
    while let Some(newline) = text[..end].iter().rposition(|b| *b == b'\n') {
        let start = text[..newline].iter().rposition(|b| *b == b'\n');
        let line = &text[start.map_or(0, |i| i + 1)..newline];
        let record: Option<Value> = serde_json::from_slice(line).ok();
        if let Some(sequence) = record.and_then(|r| r["sequence"].as_u64()) {
            return (newline + 1, sequence);
        }
        end = newline;
    }
    (0, 0)
}

fn record_to_json(record: &AuditRecord) -> Value {
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

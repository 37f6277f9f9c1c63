//! Exports the audit trail to files for operators.

use crate::limits::{AUDIT_EXPORT_BYTES, AUDIT_FILE_LIMITS, MAX_AUDIT_LINE_BYTES};
use mangospindle_state::{
    Actor, AuditChange, AuditRecord, ConfigChange, EncodedAuditRecord, RequestId, State,
};
use mangospindle_storage::{OpenedLines, RotatedLines};
use mangospindle_telemetry::event;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::path::Path;

/// Name of the exported files, in the data directory.
const FILE_STEM: &str = "audit";

/// Selects the audit records to export, so that each is exported once and in sequence order.
#[derive(Debug)]
pub(crate) struct AuditExport {
    last_exported: u64,
}

/// The exported files: one JSON object per line.
#[derive(Debug)]
pub(crate) struct AuditFile {
    lines: RotatedLines,
}

/// A line of the exported files.
#[derive(Serialize)]
struct AuditLine<'a> {
    sequence: u64,
    index: u64,
    leader_time_ms: u64,
    actor: &'a Actor,
    request: &'a RequestId,
    version: u64,
    before: Option<&'a ConfigChange>,
    after: ChangeLine<'a>,
}

/// The change in a line.
#[derive(Serialize)]
#[serde(untagged)]
enum ChangeLine<'a> {
    Bootstrap {
        bootstrap: BootstrapLine<'a>,
    },
    Config(&'a ConfigChange),
    /// The line would be longer than [`MAX_AUDIT_LINE_BYTES`].
    Omitted {
        omitted: &'static str,
    },
}

#[derive(Serialize)]
struct BootstrapLine<'a> {
    entries: usize,
    endpoints: usize,
    profiles: &'a [String],
}

/// The part of a line that identifies the record.
#[derive(Deserialize)]
struct LineNumber {
    sequence: u64,
}

/// A buffer that refuses more than [`MAX_AUDIT_LINE_BYTES`].
#[derive(Default)]
struct LineBuffer(Vec<u8>);

impl AuditExport {
    /// Opens the files and finds the last complete record.
    pub(crate) fn open(data_dir: &Path) -> io::Result<(AuditExport, AuditFile)> {
        let number_of = |line: &[u8]| {
            let line: Option<LineNumber> = serde_json::from_slice(line).ok();
            line.map(|l| l.sequence)
        };
        let (lines, opened) =
            RotatedLines::open(data_dir, FILE_STEM, AUDIT_FILE_LIMITS, number_of)?;
        let OpenedLines {
            truncated_bytes,
            evicted_bytes,
        } = opened;
        if truncated_bytes > 0 {
            event!(Warn, "audit_tail_cut", "bytes" => truncated_bytes);
        }
        if evicted_bytes > 0 {
            event!(Warn, "audit_files_shortened", "bytes" => evicted_bytes,
                "reason" => "the exported files were larger than the limit");
        }
        let last_exported = lines.last();
        Ok((AuditExport { last_exported }, AuditFile { lines }))
    }

    /// Returns the next records that have not been exported yet, oldest first; empty if there are none.
    pub(crate) fn next_records(&mut self, state: &State) -> Vec<EncodedAuditRecord> {
        let records = state.encoded_audit(self.last_exported, AUDIT_EXPORT_BYTES);
        if let Some(first) = records.first()
            && first.sequence() > self.last_exported + 1
        {
            event!(
                Warn,
                "audit_gap",
                "after" => self.last_exported,
                "next" => first.sequence(),
                "reason" => "this replica was away for longer than the state keeps records",
            );
        }
        if let Some(last) = records.last() {
            self.last_exported = last.sequence();
        }
        records
    }
}

impl AuditFile {
    /// Appends records. They are durable after the next [`sync`](Self::sync).
    pub(crate) fn append(&mut self, records: &[EncodedAuditRecord]) -> io::Result<()> {
        for record in records {
            let line = encode_line(&AuditRecord::from(record))?;
            self.lines.append(record.sequence(), &line)?;
        }
        Ok(())
    }

    /// Makes all appended records durable. The replicated state drops old records, so an exported record
    /// must survive a crash.
    pub(crate) fn sync(&mut self) -> io::Result<()> {
        self.lines.sync()
    }

    /// Size of all files, in bytes.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.lines.total_bytes()
    }
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.len() + bytes.len() > MAX_AUDIT_LINE_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.0.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Encodes a record as one line. Leaves out the change if the line would be too long.
fn encode_line(record: &AuditRecord) -> io::Result<Vec<u8>> {
    let (before, after) = match &record.change {
        AuditChange::Bootstrap {
            entries,
            endpoints,
            profiles,
        } => {
            let bootstrap = BootstrapLine {
                entries: *entries,
                endpoints: *endpoints,
                profiles,
            };
            (None, ChangeLine::Bootstrap { bootstrap })
        }
        AuditChange::Config { before, after } => {
            (before.as_deref(), ChangeLine::Config(after.as_ref()))
        }
    };
    let mut line = AuditLine {
        sequence: record.sequence,
        index: record.index,
        leader_time_ms: record.leader_time_ms,
        actor: &record.actor,
        request: &record.request,
        version: record.version,
        before,
        after,
    };
    let mut buf = LineBuffer::default();
    let written = serde_json::to_writer(&mut buf, &line);
    if written.is_err_and(|e| e.io_error_kind() == Some(io::ErrorKind::FileTooLarge)) {
        line.before = None;
        line.after = ChangeLine::Omitted {
            omitted: "the change is too large for the exported files",
        };
        buf = LineBuffer::default();
        serde_json::to_writer(&mut buf, &line)?;
    }
    buf.0.push(b'\n');
    Ok(buf.0)
}

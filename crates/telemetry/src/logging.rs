use crate::LineWriter;
use log::LevelFilter;
use miette::{IntoDiagnostic, Result};
use serde_json::{Map, Value, json};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// The log writer of this process, set by [`init_logging`].
static WRITER: OnceLock<LineWriter> = OnceLock::new();

/// Returns the number of log lines dropped since the process started.
pub fn log_lines_dropped() -> u64 {
    WRITER.get().map_or(0, LineWriter::dropped)
}

/// Initializes logging to standard output, one JSON object per line.
///
/// # Errors
///
/// Fails if `level` is not a log level, if the writer thread cannot be started, or if a logger is
/// already installed.
pub fn init_logging(process: &str, level: &str) -> Result<()> {
    let process = process.to_string();
    let level: LevelFilter = level.parse().into_diagnostic()?;
    let writer = LineWriter::start(std::io::stdout()).into_diagnostic()?;
    // If a writer is already set, `apply` below returns the error.
    let _ = WRITER.set(writer.clone());
    let output = fern::Output::call(move |record| writer.write(record.args().to_string()));
    fern::Dispatch::new()
        .level(level)
        .level_for("actix_http", level.min(LevelFilter::Info))
        .level_for("actix_server", level.min(LevelFilter::Warn))
        .format(move |out, message, record| {
            // Wall-clock time is only informational here; no decision depends on it.
            let time_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64);
            let mut line = Map::new();
            line.insert("time_ms".into(), json!(time_ms));
            line.insert("level".into(), json!(record.level().as_str()));
            line.insert("process".into(), json!(process));
            line.insert("module".into(), json!(record.target()));
            match serde_json::from_str::<Map<String, Value>>(&message.to_string()) {
                Ok(fields) => line.extend(fields),
                Err(_) => {
                    line.insert("message".into(), json!(message.to_string()));
                }
            }
            out.finish(format_args!("{}", Value::Object(line)));
        })
        .chain(output)
        .apply()
        .into_diagnostic()
}

/// Encodes an event and its fields as one JSON object.
pub fn json_line(event: &str, fields: &[(&str, String)]) -> String {
    let mut line = Map::new();
    line.insert("event".into(), json!(event));
    for (key, value) in fields {
        line.insert((*key).to_string(), json!(value));
    }
    Value::Object(line).to_string()
}

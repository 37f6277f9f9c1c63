//! Logging as JSON lines, and metrics.
//!
//! Each log line is one JSON object with the time, level, process, module and message. Lines logged
//! with [`event!`] have a stable event name in the `event` field instead of a message.

mod line_class;
mod line_limiter;
mod line_writer;
mod logging;
mod metrics_text;

pub use line_writer::LineWriter;
pub use logging::{init_logging, json_line, log_lines_dropped};
pub use metrics_text::metrics_text;

/// Logs an event with a stable name and named fields.
///
/// ```ignore
/// event!(Info, "entry_draining", "entry" => name, "in_progress" => count);
/// ```
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:literal => $value:expr)* $(,)?) => {
        if ::log::log_enabled!(::log::Level::$level) {
            ::log::log!(
                ::log::Level::$level,
                "{}",
                $crate::json_line($name, &[$(($key, $value.to_string())),*])
            );
        }
    };
}

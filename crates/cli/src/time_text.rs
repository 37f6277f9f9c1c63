use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// A wall-clock time in milliseconds since the Unix epoch as RFC 3339 text in UTC; the number
/// itself if it is outside the calendar.
pub(crate) fn time_text(time_ms: u64) -> String {
    let nanoseconds = i128::from(time_ms) * 1_000_000;
    (OffsetDateTime::from_unix_timestamp_nanos(nanoseconds).ok())
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| time_ms.to_string())
}

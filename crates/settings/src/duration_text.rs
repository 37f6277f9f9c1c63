use serde::Deserialize;
use std::time::Duration;

/// A duration with a unit, such as `250ms`, `5s` or `24h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct DurationText(pub(crate) Duration);

impl TryFrom<String> for DurationText {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = &text[digits.len()..];
        let number: u64 = digits.parse().map_err(|_| {
            format!("`{text}` is not a duration; write a whole number and a unit, such as `250ms`")
        })?;
        let millis = match unit {
            "ms" => number,
            "s" => number.saturating_mul(1_000),
            "min" => number.saturating_mul(60_000),
            "h" => number.saturating_mul(3_600_000),
            _ => {
                return Err(format!(
                    "`{text}` has no known unit; use `ms`, `s`, `min` or `h`"
                ));
            }
        };
        Ok(DurationText(Duration::from_millis(millis)))
    }
}

use serde::Deserialize;
use std::time::Duration;

/// A duration with a unit, such as `250ms`, `2.5s` or `24h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct DurationText(pub(crate) Duration);

impl TryFrom<String> for DurationText {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = &text[digits.len()..];
        let number: f64 = digits
            .parse()
            .ok()
            .filter(|n: &f64| n.is_finite() && !n.is_sign_negative())
            .ok_or_else(|| {
                format!("`{text}` is not a duration; write a number and a unit, such as `250ms`")
            })?;
        let millis = match unit {
            "ms" => number,
            "s" => number * 1_000.0,
            "min" => number * 60_000.0,
            "h" => number * 3_600_000.0,
            _ => {
                return Err(format!(
                    "`{text}` has no known unit; use `ms`, `s`, `min` or `h`"
                ));
            }
        };
        Ok(DurationText(Duration::from_micros(
            (millis * 1_000.0) as u64,
        )))
    }
}

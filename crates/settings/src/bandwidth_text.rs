use serde::Deserialize;

/// A bandwidth with a unit, such as `280Mbit/s` or `4Gbit/s`, in bits per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct BandwidthText(pub(crate) u64);

impl TryFrom<String> for BandwidthText {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
        let factor = match &text[digits.len()..] {
            "kbit/s" => 1_000,
            "Mbit/s" => 1_000_000,
            "Gbit/s" => 1_000_000_000,
            _ => {
                return Err(format!(
                    "`{text}` has no known unit; use `kbit/s`, `Mbit/s` or `Gbit/s`"
                ));
            }
        };
        match digits.parse::<u64>() {
            Ok(number) => Ok(BandwidthText(number.saturating_mul(factor))),
            Err(_) => Err(format!("`{text}` does not start with a whole number")),
        }
    }
}

use std::fmt;

/// Why a snapshot cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are not a snapshot, or are truncated or damaged.
    Malformed(String),
    /// The snapshot has a format that this build does not know.
    UnknownFormat(u32),
    /// The parts of the snapshot contradict each other.
    Inconsistent(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(why) => write!(f, "malformed snapshot: {why}"),
            DecodeError::UnknownFormat(format) => write!(f, "unknown snapshot format {format}"),
            DecodeError::Inconsistent(what) => write!(f, "inconsistent snapshot: {what}"),
        }
    }
}

impl std::error::Error for DecodeError {}

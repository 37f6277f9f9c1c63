use std::fmt;

/// Error from decoding a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are not a snapshot, or are truncated or damaged.
    Malformed(String),
    /// The snapshot has a format that this build does not support.
    UnknownFormat(u32),
    /// The values in the snapshot contradict each other.
    Inconsistent(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(reason) => write!(f, "malformed snapshot: {reason}"),
            DecodeError::UnknownFormat(format) => write!(f, "unknown snapshot format {format}"),
            DecodeError::Inconsistent(detail) => write!(f, "inconsistent snapshot: {detail}"),
        }
    }
}

impl std::error::Error for DecodeError {}

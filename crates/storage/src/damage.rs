use mangospindle_consensus::RecoveryError;

/// Why a data directory is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A record that was synced has a wrong checksum or is cut short.
    #[error("a synced record does not have its checksum")]
    Checksum,
    /// A record has a good checksum and cannot be decoded.
    #[error("a record cannot be decoded: {0}")]
    Encoding(postcard::Error),
    /// A record is not the expected one: a segment is missing or was put there.
    #[error("record {found} is in place of record {expected}")]
    Sequence {
        /// The number that should follow.
        expected: u64,
        /// The number that was found.
        found: u64,
    },
    /// A log entry or snapshot is at position 0.
    #[error("position 0 holds nothing")]
    Position,
    /// The entries do not continue the snapshot or each other.
    #[error(transparent)]
    Entries(#[from] RecoveryError),
    /// The identity or all segments are missing while other files are present.
    #[error("the file is missing")]
    Missing,
    /// The directory was written by another version.
    #[error("format {0} is not supported")]
    Format(u16),
}

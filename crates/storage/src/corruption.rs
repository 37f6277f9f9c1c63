use mangospindle_consensus::RecoveryError;

/// Why a data directory is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A record that was synced has a wrong checksum or is cut short.
    #[error("a synced record is truncated or does not match its checksum")]
    Checksum,
    /// A record has a valid checksum and cannot be decoded.
    #[error("a record cannot be decoded: {0}")]
    Encoding(postcard::Error),
    /// A record has an unexpected sequence number: a segment is missing, or does not belong to
    /// this log.
    #[error("expected record {expected}, found record {found}")]
    UnexpectedSequence {
        /// The expected sequence number.
        expected: u64,
        /// The sequence number in the file.
        found: u64,
    },
    /// A log entry or snapshot has index 0. Indexes start at 1.
    #[error("a log entry or snapshot has index 0")]
    ZeroIndex,
    /// The entries do not continue the snapshot or each other.
    #[error(transparent)]
    Entries(#[from] RecoveryError),
    /// The identity, the latest snapshot or all segments are missing, although other files are
    /// present.
    #[error("the file is missing")]
    MissingFile,
    /// The directory was written in another version of the format.
    #[error("format version {0} is not supported")]
    UnsupportedFormat(u16),
}

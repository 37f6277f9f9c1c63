const FILE_NAME_PREFIX: &str = "wal-";

/// A segment file of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Sequence number of the first record.
    pub(crate) first_sequence: u64,
    /// Highest index of the entries in the segment, or 0 if it holds none that are still needed.
    pub(crate) last_index: u64,
    /// Length of the file in bytes.
    pub(crate) size_bytes: u64,
}

impl Segment {
    pub(crate) fn new(first_sequence: u64) -> Self {
        Self {
            first_sequence,
            last_index: 0,
            size_bytes: 0,
        }
    }

    pub(crate) fn file_name(&self) -> String {
        format!("{FILE_NAME_PREFIX}{:020}", self.first_sequence)
    }

    /// Returns an empty segment for the name of a segment file, or `None` for any other name.
    pub(crate) fn from_file_name(name: &str) -> Option<Self> {
        let first_sequence = name.strip_prefix(FILE_NAME_PREFIX)?.parse().ok()?;
        Some(Self::new(first_sequence)).filter(|segment| segment.file_name() == name)
    }
}

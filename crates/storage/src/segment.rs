const PREFIX: &str = "wal-";

/// A file of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Number of its first record.
    pub(crate) first: u64,
    /// Highest position of the entries in it.
    pub(crate) last_index: u64,
    pub(crate) bytes: u64,
}

impl Segment {
    pub(crate) fn new(first: u64) -> Self {
        Self {
            first,
            last_index: 0,
            bytes: 0,
        }
    }

    pub(crate) fn name(&self) -> String {
        format!("{PREFIX}{:020}", self.first)
    }

    pub(crate) fn parse(name: &str) -> Option<Self> {
        let first = name.strip_prefix(PREFIX)?.parse().ok()?;
        Some(Self::new(first)).filter(|segment| segment.name() == name)
    }
}

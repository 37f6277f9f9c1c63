use crate::{Entry, HardState, Snapshot};

/// What a node left on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Latest hard state.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps. Entries before it may be present and are ignored.
    pub entries: Vec<Entry>,
}

/// Why a node cannot start from what is on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The entries do not continue the snapshot without gaps.
    #[error("log entry {found} follows position {previous}")]
    Gap {
        /// The position before.
        previous: u64,
        /// The entry that does not follow it.
        found: u64,
    },
    /// The terms go down, or exceed the term of the hard state.
    #[error("term {term} of log entry {index} is out of order")]
    Term {
        /// The entry.
        index: u64,
        /// Its term.
        term: u64,
    },
}

use crate::{Entry, HardState, Snapshot};

/// State that a node reads from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Latest hard state.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps. Entries that the snapshot includes may be present
    /// and are ignored.
    pub entries: Vec<Entry>,
}

/// Reason why a node cannot start from the state on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The entries do not continue the log without gaps.
    #[error("log entry {found} is not contiguous with entry {previous}")]
    Gap {
        /// Index of the entry or snapshot before the gap.
        previous: u64,
        /// Index of the entry after the gap.
        found: u64,
    },
    /// The terms decrease, or exceed the term of the hard state.
    #[error("term {term} of log entry {index} is out of order")]
    Term {
        /// Index of the entry.
        index: u64,
        /// Its term.
        term: u64,
    },
}

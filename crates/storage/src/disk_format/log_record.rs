use super::{StoredEntry, StoredHardState};
use serde::{Deserialize, Serialize};

/// Content of a record in a segment.
#[derive(Serialize, Deserialize)]
pub(crate) enum LogRecord {
    /// First record of each segment. It repeats what is needed from earlier segments.
    Start {
        /// The latest hard state.
        hard_state: StoredHardState,
        /// Index of the latest snapshot, or 0 if there is none. The snapshot file must exist.
        snapshot: u64,
        /// Whether the snapshot replaced all entries.
        reset: bool,
    },
    /// The latest hard state.
    HardState(StoredHardState),
    /// Removes all entries from this index on, then appends this one.
    Entry(StoredEntry),
}

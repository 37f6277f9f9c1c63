use super::{WireEntry, WireHardState};
use serde::{Deserialize, Serialize};

/// Content of a record in a segment.
#[derive(Serialize, Deserialize)]
pub(crate) enum WireRecord {
    /// First record of each segment: what is needed from the segments before.
    Start {
        /// The latest hard state.
        hard_state: WireHardState,
        /// Position of the latest snapshot, or 0. It must be present.
        snapshot: u64,
        /// Whether the snapshot replaced all entries.
        reset: bool,
    },
    /// The latest hard state.
    HardState(WireHardState),
    /// Replaces all entries from its position on.
    Entry(WireEntry),
}

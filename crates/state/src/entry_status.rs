use serde::{Deserialize, Serialize};

/// Status of an entry in the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryStatus {
    /// No process of the entry has joined.
    Absent,
    /// The process that joined last is serving.
    Active {
        /// Random number drawn at the start of the entry process.
        incarnation: u64,
    },
    /// The process is stopping and accepts no new endpoints.
    Leaving {
        /// Incarnation of the process that announced its shutdown.
        incarnation: u64,
    },
    /// The VM of the entry has stopped.
    Fenced,
}

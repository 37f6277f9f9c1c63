use serde::{Deserialize, Serialize};

/// What the control replicas have agreed about an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryStatus {
    /// Has never joined.
    Absent,
    /// Serves; `incarnation` is the process that joined last.
    Active {
        /// Random number drawn at the start of the entry process.
        incarnation: u64,
    },
    /// Is stopping and accepts no new endpoints.
    Leaving {
        /// The process that announced its stop.
        incarnation: u64,
    },
    /// Its VM is gone.
    Fenced,
}

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Whether the process is stopping, and since when.
pub(crate) struct DrainState {
    phase: Mutex<DrainPhase>,
}

/// Steps of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainPhase {
    /// Not stopping.
    Serving,
    /// Has left the lookup lists; callers may still hold earlier ones.
    LeavingLists {
        /// When the stop began, on the local clock.
        since: Duration,
    },
    /// Refuses new requests and finishes those in progress.
    Finishing {
        /// When the stop began, on the local clock.
        since: Duration,
    },
}

impl DrainState {
    /// A process that is not stopping.
    pub(crate) fn new() -> Self {
        DrainState {
            phase: Mutex::new(DrainPhase::Serving),
        }
    }

    /// The present step.
    pub(crate) fn phase(&self) -> DrainPhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves to another step.
    pub(crate) fn set(&self, phase: DrainPhase) {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner) = phase;
    }
}

impl DrainPhase {
    /// Stable name for status, metrics and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            DrainPhase::Serving => "serving",
            DrainPhase::LeavingLists { .. } => "leaving_lists",
            DrainPhase::Finishing { .. } => "finishing",
        }
    }
}

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Phase of the graceful shutdown, shared by all tasks.
pub(crate) struct DrainState {
    phase: Mutex<DrainPhase>,
}

/// Phases of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainPhase {
    /// No shutdown has been requested.
    Serving,
    /// Removed from new lookup responses. Callers may still use cached ones.
    LeavingLists {
        /// Start of the shutdown, on the local clock.
        since: Duration,
    },
    /// New requests are rejected, and those in progress are completed.
    Finishing {
        /// Start of the shutdown, on the local clock.
        since: Duration,
    },
}

impl DrainState {
    /// Creates the state in the phase [`DrainPhase::Serving`].
    pub(crate) fn new() -> Self {
        DrainState {
            phase: Mutex::new(DrainPhase::Serving),
        }
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> DrainPhase {
        *self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enters another phase.
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

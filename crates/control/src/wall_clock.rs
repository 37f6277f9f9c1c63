use std::time::{SystemTime, UNIX_EPOCH};

/// A wall clock. Its time labels commands and audit records and is never compared between
/// processes.
pub trait WallClock: Send + Sync {
    /// Milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}

/// The operating system's wall clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemWallClock;

impl WallClock for SystemWallClock {
    fn unix_ms(&self) -> u64 {
        // A time before 1970 becomes 0. The state machine does not let the leader time go backwards.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

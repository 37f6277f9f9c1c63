use std::time::Duration;

/// Work that is left at an owned endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointProgress {
    /// Requests in progress.
    pub in_flight: u32,
    /// For a leaving endpoint that became idle: the time from the start of its drain until then.
    pub drained_in: Option<Duration>,
}

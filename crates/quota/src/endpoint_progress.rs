use std::time::Duration;

/// Remaining work at an endpoint, and the duration of its drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointProgress {
    /// Requests in progress.
    pub in_flight: u32,
    /// Time from the start of the drain until the endpoint became idle; `None` unless it is leaving
    /// and became idle.
    pub drained_in: Option<Duration>,
}

use mangospindle_model::EndpointId;
use std::time::Duration;

/// Permission to send one request to an endpoint.
///
/// A permit cannot be cloned, and [`Admission::finish`](crate::Admission::finish) consumes it, so
/// that its slot is freed only once. A dropped permit keeps its slot occupied.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    pub(crate) id: u64,
    pub(crate) endpoint: EndpointId,
    pub(crate) deadline: Duration,
}

impl Permit {
    /// The endpoint to send the request to.
    pub fn endpoint(&self) -> EndpointId {
        self.endpoint
    }

    /// Time on the local clock at which the endpoint must abort the request: the caller's deadline,
    /// or the service's `max_deadline` after the dispatch if that is earlier.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }
}

use mangospindle_model::EndpointId;
use std::time::Duration;

/// The right to send one request to an endpoint.
///
/// It cannot be cloned and is consumed by [`Admission::finish`](crate::Admission::finish), so that
/// a slot is freed once. A permit that is dropped keeps its slot occupied.
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

    /// Time on the local clock at which the endpoint must give up: the caller's deadline, and at
    /// most the service's `max_deadline` after the dispatch.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }
}

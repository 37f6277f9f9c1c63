use crate::EndpointKey;

/// Identifies a request in progress at an endpoint when its outcome is recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendTicket {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Affinity key of the request.
    pub(crate) affinity: Option<u64>,
    /// Whether the object was expected to be in the endpoint's working set.
    pub(crate) expected_hit: bool,
    /// Requests that had to finish before this one started, per slot of the endpoint.
    pub(crate) queue_per_slot: f64,
}

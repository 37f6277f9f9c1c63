use crate::EndpointKey;

/// A request at an endpoint, from the choice to the outcome.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendTicket {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The object that the request concerns.
    pub(crate) affinity: Option<u64>,
    /// Whether the endpoint was expected to remember the object.
    pub(crate) known: bool,
    /// Requests ahead of it that had to end first, relative to the slots.
    pub(crate) queue: f64,
}

use crate::{EndpointKey, SendTicket};
use std::net::SocketAddr;
use std::time::Duration;

/// Properties of a request that its dispatch depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Affinity key: hash of the object that the request concerns. `None` if endpoints are no
    /// faster on objects in their working sets.
    pub affinity: Option<u64>,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Priority of the workspace; `None` if the request belongs to no workspace. It limits the expected wait,
    /// and that of the route the expected latency.
    pub workspace_priority: Option<u32>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Longest expected latency with which the request is sent during a graceful stop of this
    /// entry; `None` if the entry is not stopping.
    pub stop_limit: Option<Duration>,
    /// Latency within which a response is of full value to the caller; zero if there is no target.
    pub target_latency: Duration,
    /// Regions that may serve the request; empty for all.
    pub home_regions: &'a [String],
    /// Endpoints that the request was sent to before, or that were unreachable.
    pub tried: &'a [EndpointKey],
    /// Whether the request was already sent to an endpoint. It then counts against the retry
    /// budget.
    pub repeated: bool,
}

/// The endpoint to send a request to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Ticket to pass to [`Dispatcher::record_outcome`](crate::Dispatcher::record_outcome).
    pub ticket: SendTicket,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Instance identifier that the endpoint must have.
    pub instance: String,
    /// Expected time until the response.
    pub expected_latency: Duration,
    /// Whether the endpoint is in another region.
    pub remote: bool,
    /// Whether the endpoint is cold.
    pub cold: bool,
}

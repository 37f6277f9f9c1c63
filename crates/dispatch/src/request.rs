use crate::{EndpointKey, SendTicket};
use std::net::SocketAddr;
use std::time::Duration;

/// What a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Hash of the object that the request concerns, if endpoints are faster on known objects.
    pub affinity: Option<u64>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Rank of the route; 0 is the highest.
    pub priority: u32,
    /// Time until the caller needs the answer.
    pub time_left: Duration,
    /// Time within which an answer has its full value to the caller; zero if there is none.
    pub target_latency: Duration,
    /// Regions that may serve the request; all of them if empty.
    pub home_regions: &'a [String],
    /// Endpoints that the request was sent to before, or that could not be reached.
    pub tried: &'a [EndpointKey],
    /// Whether the request was sent to an endpoint before.
    pub repeated: bool,
}

/// The endpoint to send a request to.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// For the report of the outcome.
    pub ticket: SendTicket,
    /// Where it listens.
    pub address: SocketAddr,
    /// Identifier that the endpoint must have.
    pub instance: String,
    /// Expected time to the answer.
    pub expected_latency: Duration,
    /// Whether the endpoint is in another region.
    pub remote: bool,
    /// Whether the endpoint is cold.
    pub cold: bool,
}

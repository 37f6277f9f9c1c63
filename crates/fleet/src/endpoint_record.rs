use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an endpoint may receive new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// The endpoint may receive new requests.
    Ready,
    /// The endpoint is about to stop and must not receive new requests.
    Draining,
}

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Instance identifier, unique for each start of the endpoint.
    pub instance: String,
    /// Name of the endpoint's service.
    pub service: String,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Name of the endpoint's failure domain.
    pub failure_domain: String,
    /// Maximum number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint may receive new requests.
    pub state: EndpointState,
    /// Remaining time for which the endpoint is cold, as of the query or the sending of the record.
    pub cold_for: Duration,
}

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an endpoint may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// It may.
    Ready,
    /// It is about to stop.
    Draining,
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Identifier of this start of the endpoint.
    pub instance: String,
    /// Name of its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it may get new requests.
    pub state: EndpointState,
    /// How much longer it is cold, at the time of reading or sending.
    pub cold_for: Duration,
}

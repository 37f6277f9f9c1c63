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

/// Reported remaining time of a cold start that has ended lately. It is not zero, so that an entry
/// which has not heard of the cold start treats the endpoint as cold for its own margin.
pub(crate) const ENDED_COLD_FOR: Duration = Duration::from_millis(1);

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

impl EndpointRecord {
    /// Counts the remaining time of a cold start from `age` later. One that has ended by then is still
    /// reported.
    pub fn age_cold_start(&mut self, age: Duration) {
        if !self.cold_for.is_zero() {
            self.cold_for = self.cold_for.saturating_sub(age).max(ENDED_COLD_FOR);
        }
    }

    /// Whether the record reports a cold start that has ended lately.
    pub fn cold_start_has_ended(&self) -> bool {
        self.cold_for == ENDED_COLD_FOR
    }
}

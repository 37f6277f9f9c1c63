use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Whether an endpoint may receive new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// The endpoint may receive new requests.
    Ready,
    /// The endpoint is about to stop and must not receive new requests.
    Draining,
}

/// Longest remaining time of a cold start. Computing with it must not overflow, whatever a list says.
const MAX_COLD_TIME: Duration = Duration::from_secs(3600);

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

    /// Limits the remaining time of the cold start to [`MAX_COLD_TIME`].
    pub(crate) fn bound_cold_time(&mut self) {
        self.cold_for = self.cold_for.min(MAX_COLD_TIME);
    }

    /// Checksum of everything but the cold start, whose remaining time changes with each reading.
    pub(crate) fn checksum(&self) -> u64 {
        let address = self.address.to_string();
        let mut hasher = Xxh3::new();
        for text in [
            &self.instance,
            &self.service,
            &address,
            &self.failure_domain,
        ] {
            // The lengths keep apart texts that are equal only when joined.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&self.slots.to_le_bytes());
        hasher.update(&[u8::from(self.state == EndpointState::Draining)]);
        hasher.digest()
    }

    /// Whether two records of an instance are equal but for their cold starts.
    pub(crate) fn has_same_content(&self, other: &EndpointRecord) -> bool {
        let same_place =
            self.address == other.address && self.failure_domain == other.failure_domain;
        same_place
            && self.service == other.service
            && self.slots == other.slots
            && self.state == other.state
    }

    /// Remaining time of the cold start counted from the reading of the list, which was `age` before
    /// the record was sent. The time at which a cold start ended is not known; it must not move with
    /// each hop.
    pub(crate) fn cold_for_since_reading(&self, age: Duration) -> Duration {
        match self.cold_for.is_zero() || self.cold_start_has_ended() {
            true => self.cold_for,
            false => self.cold_for.saturating_add(age).min(MAX_COLD_TIME),
        }
    }

    /// Whether the record reports a cold start that has ended lately.
    pub fn cold_start_has_ended(&self) -> bool {
        self.cold_for == ENDED_COLD_FOR
    }
}

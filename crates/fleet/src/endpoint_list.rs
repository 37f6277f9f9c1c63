use crate::EndpointRecord;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// A copy of the platform's list of endpoints.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The endpoints, sorted by instance. `cold_for` counts from `read_at`.
    pub endpoints: Arc<Vec<EndpointRecord>>,
    /// Digest of the content, to detect whether two copies are equal. Never zero.
    pub digest: u64,
    /// Local time at which the platform was queried. Ages count from the query rather than from its
    /// response, so that the content is never treated as newer than it is.
    pub read_at: Duration,
}

impl EndpointList {
    /// Creates a list from the result of a query made at `read_at`.
    pub fn new(mut endpoints: Vec<EndpointRecord>, read_at: Duration) -> Self {
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        EndpointList {
            digest: digest(&endpoints),
            endpoints: Arc::new(endpoints),
            read_at,
        }
    }

    /// Returns the endpoints with `cold_for` counted from `now`.
    pub fn endpoints_at(&self, now: Duration) -> Vec<EndpointRecord> {
        let age = now.saturating_sub(self.read_at);
        let mut endpoints = Vec::clone(&self.endpoints);
        for endpoint in &mut endpoints {
            endpoint.cold_for = endpoint.cold_for.saturating_sub(age);
        }
        endpoints
    }
}

/// Digest of a sorted list. It includes only whether an endpoint is cold, not for how long, because
/// that time changes with every query.
fn digest(endpoints: &[EndpointRecord]) -> u64 {
    let mut hasher = Xxh3::new();
    for e in endpoints {
        let text = format!(
            "{}\n{}\n{}\n{}\n{}\n{:?}\n{}\n",
            e.instance,
            e.service,
            e.address,
            e.failure_domain,
            e.slots,
            e.state,
            e.cold_for.is_zero()
        );
        hasher.update(text.as_bytes());
    }
    // Zero stands for "no list".
    hasher.digest().max(1)
}

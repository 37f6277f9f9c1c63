use crate::EndpointRecord;
use crate::endpoint_record::ENDED_COLD_FOR;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Time after the end of a cold start for which an endpoint is still reported as cold. The rate
/// limit of a cold endpoint applies to each second that begins during its cold start, and a list
/// can reach an entry after the end.
const COLD_REPORT_TIME: Duration = Duration::from_secs(1);

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
    /// When the current or latest cold start of each endpoint that is reported as cold ends, on the
    /// local clock.
    cold_until: BTreeMap<String, Duration>,
}

impl EndpointList {
    /// Creates a list from the result of a query made at `read_at`.
    pub fn new(endpoints: Vec<EndpointRecord>, read_at: Duration) -> Self {
        EndpointList::from_reading(endpoints, read_at, read_at)
    }

    /// Creates a list from the result of a query that was made at `read_at` and took until
    /// `finished_at`, from which `cold_for` counts.
    pub fn from_reading(
        mut endpoints: Vec<EndpointRecord>,
        read_at: Duration,
        finished_at: Duration,
    ) -> Self {
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        let cold = endpoints.iter().filter(|e| !e.cold_for.is_zero());
        let cold_until: BTreeMap<String, Duration> = cold
            .map(|e| (e.instance.clone(), finished_at + e.cold_for))
            .collect();
        EndpointList {
            digest: digest(&endpoints, &cold_until),
            endpoints: Arc::new(endpoints),
            read_at,
            cold_until,
        }
    }

    /// Adopts the cold starts that ended lately according to an earlier list.
    pub(crate) fn inherit_cold_starts(&mut self, earlier: &EndpointList) {
        let listed = |instance: &String| {
            let index = (self.endpoints).binary_search_by(|e| e.instance.cmp(instance));
            index.is_ok()
        };
        let reported = (earlier.cold_until.iter()).filter(|(instance, until)| {
            self.read_at < **until + COLD_REPORT_TIME && listed(instance)
        });
        let inherited: Vec<_> = reported.map(|(i, until)| (i.clone(), *until)).collect();
        for (instance, until) in inherited {
            let known = self.cold_until.entry(instance).or_insert(until);
            *known = until.max(*known);
        }
        self.digest = digest(&self.endpoints, &self.cold_until);
    }

    /// Returns the endpoints with `cold_for` counted from `now`.
    pub fn endpoints_at(&self, now: Duration) -> Vec<EndpointRecord> {
        let mut endpoints = Vec::clone(&self.endpoints);
        for endpoint in &mut endpoints {
            endpoint.cold_for = match self.cold_until.get(&endpoint.instance) {
                Some(until) if now < *until + COLD_REPORT_TIME => {
                    until.saturating_sub(now).max(ENDED_COLD_FOR)
                }
                _ => Duration::ZERO,
            };
        }
        endpoints
    }
}

/// Digest of a sorted list. It includes only whether an endpoint is reported as cold, not for how
/// long, because that time changes with every query.
fn digest(endpoints: &[EndpointRecord], cold_until: &BTreeMap<String, Duration>) -> u64 {
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
            !cold_until.contains_key(&e.instance)
        );
        hasher.update(text.as_bytes());
    }
    // Zero stands for "no list".
    hasher.digest().max(1)
}

use crate::endpoint_copy::sum;
use crate::endpoint_record::ENDED_COLD_FOR;
use crate::{EndpointDifference, EndpointRecord};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Time after the end of a cold start for which an endpoint is still reported as cold. The rate
/// limit of a cold endpoint applies to each second that begins during its cold start, and a list
/// can reach an entry after the end.
const COLD_REPORT_TIME: Duration = Duration::from_secs(1);

/// Change of the end of a cold start above which it is another cold start. Two readings of the same one
/// differ by their durations.
pub(crate) const COLD_END_TOLERANCE: Duration = Duration::from_millis(300);

/// A copy of the platform's list of endpoints.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The endpoints, sorted by instance. `cold_for` counts from `read_at`.
    pub endpoints: Arc<Vec<EndpointRecord>>,
    /// Digest of the content, which names this version of the list. Never zero.
    pub digest: u64,
    /// Sum of the checksums of the records, with which a receiver checks a difference.
    pub(crate) checksum: u64,
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
        endpoints
            .iter_mut()
            .for_each(EndpointRecord::bound_cold_time);
        endpoints.sort_by(|a, b| a.instance.cmp(&b.instance));
        // An endpoint that moves between two pages while they are read is listed twice.
        endpoints.dedup_by(|a, b| a.instance == b.instance);
        let cold = endpoints.iter().filter(|e| !e.cold_for.is_zero());
        let cold_until: BTreeMap<String, Duration> = cold
            .map(|e| (e.instance.clone(), finished_at + e.cold_for))
            .collect();
        EndpointList {
            digest: digest(&endpoints, &cold_until),
            checksum: sum(endpoints.iter().map(EndpointRecord::checksum)),
            endpoints: Arc::new(endpoints),
            read_at,
            cold_until,
        }
    }

    /// Returns the list that a sender holds, given a difference from this one. `sent_age` is the age of
    /// the sender's list when it sent the difference, and `digest` and `checksum` are those of the
    /// sender's list.
    ///
    /// Returns `None` if the difference does not lead to the sender's list.
    pub(crate) fn with_difference(
        &self,
        difference: EndpointDifference,
        read_at: Duration,
        sent_age: Duration,
        (digest, checksum): (u64, u64),
    ) -> Option<EndpointList> {
        let mut records: BTreeMap<&str, &EndpointRecord> = (self.endpoints.iter())
            .map(|e| (e.instance.as_str(), e))
            .collect();
        let mut cold_until = self.cold_until.clone();
        for instance in &difference.removed {
            records.remove(instance.as_str());
            cold_until.remove(instance);
        }
        for endpoint in &difference.changed {
            records.insert(&endpoint.instance, endpoint);
            cold_until.remove(&endpoint.instance);
            if !endpoint.cold_for.is_zero() {
                let cold_for = endpoint.cold_for_since_reading(sent_age);
                cold_until.insert(endpoint.instance.clone(), read_at + cold_for);
            }
        }
        let endpoints: Vec<EndpointRecord> = records.into_values().cloned().collect();
        let list = EndpointList {
            digest,
            checksum: sum(endpoints.iter().map(EndpointRecord::checksum)),
            endpoints: Arc::new(endpoints),
            read_at,
            cold_until,
        };
        (difference.base == self.digest && list.checksum == checksum).then_some(list)
    }

    /// Adopts the cold starts that an earlier list reports: those that ended lately, and the ends of those
    /// that are read once more.
    pub(crate) fn inherit_cold_starts(&mut self, earlier: &EndpointList) {
        let reported = (earlier.cold_until.iter()).filter(|(instance, until)| {
            self.read_at < **until + COLD_REPORT_TIME && self.endpoint(instance).is_some()
        });
        let inherited: Vec<_> = reported.map(|(i, until)| (i.clone(), *until)).collect();
        for (instance, until) in inherited {
            let read = self.cold_until.entry(instance).or_insert(until);
            if *read <= until + COLD_END_TOLERANCE {
                *read = until;
            }
        }
        self.digest = digest(&self.endpoints, &self.cold_until);
    }

    /// Returns the endpoints with `cold_for` counted from `now`.
    pub fn endpoints_at(&self, now: Duration) -> Vec<EndpointRecord> {
        let endpoints = self.endpoints.iter();
        endpoints.map(|e| self.record_at(now, e)).collect()
    }

    /// Returns one endpoint with `cold_for` counted from `now`.
    pub(crate) fn endpoint_at(&self, now: Duration, instance: &str) -> Option<EndpointRecord> {
        Some(self.record_at(now, self.endpoint(instance)?))
    }

    /// Returns the record of an instance as it was read.
    pub(crate) fn endpoint(&self, instance: &str) -> Option<&EndpointRecord> {
        let index = (self.endpoints).binary_search_by(|e| e.instance.as_str().cmp(instance));
        self.endpoints.get(index.ok()?)
    }

    /// When the reported cold start of an instance ends, on the local clock.
    pub(crate) fn cold_until(&self, instance: &str) -> Option<Duration> {
        self.cold_until.get(instance).copied()
    }

    fn record_at(&self, now: Duration, endpoint: &EndpointRecord) -> EndpointRecord {
        let cold_for = match self.cold_until.get(&endpoint.instance) {
            Some(until) if now < *until + COLD_REPORT_TIME => {
                until.saturating_sub(now).max(ENDED_COLD_FOR)
            }
            _ => Duration::ZERO,
        };
        EndpointRecord {
            cold_for,
            ..endpoint.clone()
        }
    }
}

/// Digest of a sorted list. It includes the ends of cold starts, because an endpoint can start again
/// while it is reported as cold.
fn digest(endpoints: &[EndpointRecord], cold_until: &BTreeMap<String, Duration>) -> u64 {
    let mut hasher = Xxh3::new();
    for e in endpoints {
        let text = format!(
            "{}\n{}\n{}\n{}\n{}\n{:?}\n{:?}\n",
            e.instance,
            e.service,
            e.address,
            e.failure_domain,
            e.slots,
            e.state,
            cold_until.get(&e.instance)
        );
        hasher.update(text.as_bytes());
    }
    // Zero stands for "no list".
    hasher.digest().max(1)
}

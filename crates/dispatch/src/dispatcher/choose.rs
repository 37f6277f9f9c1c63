use super::Dispatcher;
use super::endpoint::Endpoint;
use crate::cold_allowance::interval;
use crate::region_shares::RegionLoad;
use crate::{Choice, EndpointKey, Refusal, RefusalReason, Request, SendTicket};
use mangospindle_model::rendezvous_score;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Round trips to an endpoint in the own failure domain, the own region and another region. Only
/// their order of magnitude matters, against work times of a hundred milliseconds and more.
const DOMAIN_TRIP: f64 = 0.001;
const REGION_TRIP: f64 = 0.003;
const REMOTE_TRIP: f64 = 0.042;

/// Part of its time that a request of a lower rank than the service's highest may spend waiting in
/// an endpoint, so that requests of the highest rank find room.
const LOWER_RANK_PART: f64 = 0.75;

/// Cost of an endpoint whose requests all fail, as a multiple of the cost of a sound one.
const FAILURE_COST: f64 = 6.0;

/// Cost of work on an object that an endpoint does not know, relative to its time: it also delays
/// the requests behind it, and displaces another object from the endpoint's memory.
const UNKNOWN_COST: f64 = 2.0;

/// Endpoints of a region among which the requests for an object are spread. With many entries, each
/// knows little of an endpoint's load; if an object could go to any endpoint that seems idle, every
/// endpoint would get more objects than it remembers.
const OBJECT_ENDPOINTS: usize = 2;

/// Shortest limit of the wait, relative to the mean time of work. Without any queue, slots would be
/// idle between two requests.
const MIN_WAIT_PART: f64 = 0.3;

/// Part of the rate that a cold endpoint tolerates which the entries that know of it use. Entries that
/// are cut off may not know that it is cold.
const COLD_PART: f64 = 0.6;

/// Cost of a full endpoint that is not yet queueing, relative to an idle one.
const BUSY_COST: f64 = 0.15;

/// Longest part of the remaining time after which callers honour a `Retry-After`.
const RETRY_AFTER_PART: f64 = 0.3;

/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);

struct Candidate {
    key: EndpointKey,
    /// Expected time to the answer, in seconds.
    time: f64,
    /// `time` with what speaks against the endpoint.
    cost: f64,
    /// Expected wait in the endpoint, in seconds.
    wait: f64,
    /// Whether the endpoint is expected to remember the object.
    known: bool,
    /// Requests that must end first, relative to the slots.
    queue: f64,
}

impl Dispatcher {
    /// Chooses the endpoint for a request and counts the request there, or refuses it. Each choice
    /// must be followed by [`Dispatcher::record_outcome`].
    pub fn choose(&mut self, now: Duration, request: &Request<'_>) -> Result<Choice, Refusal> {
        if !self.services.contains_key(request.service) {
            return Err(self.refusal(RefusalReason::NoEndpoint, request, 0.0));
        }
        if request.repeated && !self.withdraw(request.service) {
            return Err(self.refusal(RefusalReason::NoRetryBudget, request, 0.0));
        }
        let Some(best) = self.best(now, request) else {
            return Err(self.refusal(RefusalReason::NoEndpoint, request, 0.0));
        };
        let excess = (best.time - self.limit(request)).max(best.wait - self.wait_limit(request));
        if excess > 0.0 {
            return Err(self.refusal(RefusalReason::TooLate, request, excess));
        }
        if request.tried.is_empty()
            && let Some(service) = self.services.get_mut(request.service)
        {
            service.earn(&self.settings);
        }
        self.take(now, request, &best)
            .ok_or_else(|| self.refusal(RefusalReason::NoEndpoint, request, 0.0))
    }

    fn withdraw(&mut self, service: &str) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.budget.withdraw())
    }

    /// Longest expected time to the answer that is worth a try, in seconds.
    fn limit(&self, request: &Request<'_>) -> f64 {
        let left = request.time_left.as_secs_f64();
        let service = self.services.get(request.service);
        let top = service.map_or(0, |s| s.top_priority);
        match request.priority > top {
            true => left * LOWER_RANK_PART,
            false => left,
        }
    }

    /// Longest expected wait in an endpoint, in seconds.
    ///
    /// A longer queue serves no more requests, but makes all of them late. Requests therefore wait
    /// only as long as one for a known object still meets its target latency.
    fn wait_limit(&self, request: &Request<'_>) -> f64 {
        let service = self.services.get(request.service);
        match service {
            Some(service) if !request.target_latency.is_zero() => {
                let target = request.target_latency.as_secs_f64();
                let work = service.times.expected(request.affinity.is_some());
                (target - work).max(MIN_WAIT_PART * service.times.mean())
            }
            _ => f64::INFINITY,
        }
    }

    /// The best endpoint of the region whose turn it is, or of the others if it has none.
    fn best(&mut self, now: Duration, request: &Request<'_>) -> Option<Candidate> {
        let regions = self.usable_regions(now, request);
        let own = self.settings.region().to_string();
        let count = self.settings.region_count();
        let loads = self.region_loads(now, request.service);
        let service = self.services.get_mut(request.service)?;
        service.shares.update(now, &own, count, &loads);
        let turn = match request.tried.is_empty() {
            true => service
                .shares
                .next(regions.iter().map(String::as_str), request.affinity),
            // A second send stays near.
            false => regions.iter().find(|r| **r == own).map(String::as_str),
        };
        let turn = turn.map(str::to_string);
        let in_turn = turn.and_then(|region| self.best_in(now, request, Some(&region)));
        in_turn.or_else(|| self.best_in(now, request, None))
    }

    /// Regions with an endpoint that can take the request now.
    fn usable_regions(&mut self, now: Duration, request: &Request<'_>) -> Vec<String> {
        let keys = self.candidates(now, request);
        let mut regions: Vec<String> = (keys.iter())
            .filter_map(|key| self.endpoints.get(key))
            .map(|e| self.settings.region_of(&e.failure_domain).to_string())
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }

    fn region_loads(&self, now: Duration, service: &str) -> BTreeMap<String, RegionLoad> {
        let mut loads: BTreeMap<String, RegionLoad> = BTreeMap::new();
        let service = self.services.get(service);
        for key in service.map_or(&[][..], |s| &s.endpoints) {
            let Some(e) = self.endpoints.get(key).filter(|e| self.is_sound(now, e)) else {
                continue;
            };
            let region = self.settings.region_of(&e.failure_domain);
            let load = loads.entry(region.to_string()).or_default();
            load.slots += e.slots;
            load.in_progress += e.load.expected(now);
        }
        loads
    }

    fn is_sound(&self, now: Duration, e: &Endpoint) -> bool {
        e.is_usable(now, &self.evacuated) && !e.is_on_trial()
    }

    /// Endpoints that can take the request now.
    fn candidates(&mut self, now: Duration, request: &Request<'_>) -> Vec<EndpointKey> {
        let service = self.services.get(request.service);
        let keys = service.map_or(Vec::new(), |s| s.endpoints.clone());
        keys.into_iter()
            .filter(|key| self.can_take(now, *key, request))
            .collect()
    }

    fn can_take(&mut self, now: Duration, key: EndpointKey, request: &Request<'_>) -> bool {
        if request.tried.contains(&key) {
            return false;
        }
        let cold_interval = self.cold_interval(request.service);
        let Some(e) = self.endpoints.get_mut(&key) else {
            return false;
        };
        let region = self.settings.region_of(&e.failure_domain);
        let homes = request.home_regions;
        let home = homes.is_empty() || homes.iter().any(|h| h == region);
        // A request that may run only once is no means to find out whether an endpoint is back.
        let trial = !e.is_on_trial() || (request.idempotent && e.load.own() == 0);
        match e.is_cold(now) {
            _ if !home || !trial || !e.is_usable(now, &self.evacuated) => false,
            false => true,
            true => {
                let offset = self.rng.random_range(0.0..1.0);
                region == self.settings.region() && e.cold.allows(now, cold_interval, offset)
            }
        }
    }

    fn cold_interval(&self, service: &str) -> Duration {
        let rate = self
            .routes
            .services
            .get(service)
            .map_or(0.0, |s| s.cold_rate);
        interval(rate * COLD_PART, self.region_entries.0)
    }

    /// The endpoint with the lowest cost, of a region or of all.
    fn best_in(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        region: Option<&str>,
    ) -> Option<Candidate> {
        let mut keys = self.candidates(now, request);
        keys.retain(|key| {
            let e = self.endpoints.get(key);
            e.is_some_and(|e| {
                region.is_none_or(|r| r == self.settings.region_of(&e.failure_domain))
            })
        });
        let preferred = match request.affinity {
            Some(object) => {
                self.keep_preferred(object, &mut keys);
                keys.first().copied()
            }
            None => None,
        };
        let candidates = keys
            .into_iter()
            .filter_map(|key| self.assess(now, key, request, preferred == Some(key)));
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Keeps the endpoints that all entries choose for an object, so that they soon know it, in
    /// order of preference.
    fn keep_preferred(&self, object: u64, keys: &mut Vec<EndpointKey>) {
        let score = |key: &EndpointKey| {
            let address = self.endpoints.get(key).map(|e| e.address);
            let text = address.map_or(0, |a| u64::from(a.port()) << 32 | ip_bits(a.ip()));
            rendezvous_score(object, text)
        };
        keys.sort_by_cached_key(|key| Reverse(score(key)));
        keys.truncate(OBJECT_ENDPOINTS);
    }

    fn assess(
        &self,
        now: Duration,
        key: EndpointKey,
        request: &Request<'_>,
        preferred: bool,
    ) -> Option<Candidate> {
        let e = self.endpoints.get(&key)?;
        let service = self.services.get(request.service)?;
        let known = request
            .affinity
            .is_some_and(|object| e.warm.contains(object));
        let work = match (known, preferred) {
            (false, true) => service.times.mean(),
            (known, _) => service.times.expected(known),
        };
        // Others may have sent the object there.
        let likely_work = match known || preferred {
            true => service.times.expected(true),
            false => service.times.expected(false) * UNKNOWN_COST,
        };
        let slots = f64::from(e.slots);
        let load = e.load.expected(now);
        let queue = (load + 1.0 - slots).max(0.0) / slots;
        let wait = queue * service.times.mean();
        let trip = match &e.failure_domain {
            domain if *domain == self.settings.failure_domain => DOMAIN_TRIP,
            domain if self.settings.region_of(domain) == self.settings.region() => REGION_TRIP,
            _ => REMOTE_TRIP,
        };
        let time = trip + wait + work;
        let busy = 1.0 + BUSY_COST * (load / slots).min(1.0);
        let failing = 1.0 + (FAILURE_COST - 1.0) * e.failures;
        Some(Candidate {
            key,
            time,
            cost: (trip + wait + likely_work * busy) * failing,
            wait,
            known,
            queue,
        })
    }

    fn take(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        candidate: &Candidate,
    ) -> Option<Choice> {
        let cold_interval = self.cold_interval(request.service);
        let e = self.endpoints.get_mut(&candidate.key)?;
        let cold = e.is_cold(now);
        match cold {
            true => e.cold.sent(now, cold_interval),
            false => e.cold.reset(),
        }
        e.load.sent();
        Some(Choice {
            ticket: SendTicket {
                endpoint: candidate.key,
                affinity: request.affinity,
                known: candidate.known,
                queue: candidate.queue,
            },
            address: e.address,
            instance: e.instance.clone(),
            expected_latency: Duration::from_secs_f64(candidate.time),
            remote: self.settings.region_of(&e.failure_domain) != self.settings.region(),
            cold,
        })
    }

    /// A refusal that tells the caller to come back when the excess is expected to be worked off,
    /// with jitter, so that refused callers do not return together.
    fn refusal(
        &mut self,
        reason: RefusalReason,
        request: &Request<'_>,
        excess_seconds: f64,
    ) -> Refusal {
        let longest = request.time_left.mul_f64(RETRY_AFTER_PART);
        let wanted = Duration::from_secs_f64(excess_seconds.clamp(0.0, 60.0));
        let shortest = wanted.clamp(MIN_RETRY_AFTER.min(longest), longest);
        let jitter = self.rng.random_range(0.0..1.0);
        Refusal {
            reason,
            retry_after: shortest + (longest - shortest).mul_f64(jitter),
        }
    }
}

fn ip_bits(ip: std::net::IpAddr) -> u64 {
    match ip {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
    }
}

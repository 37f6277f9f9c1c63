use super::Dispatcher;
use super::endpoint::Endpoint;
use crate::{Choice, EndpointKey, Refusal, RefusalReason, Request, SendTicket};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Round-trip time to an endpoint in this entry's failure domain, elsewhere in its region and in
/// another region. Only the order of magnitude matters, because service times are a hundred
/// milliseconds and more.
const DOMAIN_ROUND_TRIP_SECONDS: f64 = 0.001;
const REGION_ROUND_TRIP_SECONDS: f64 = 0.003;
const REMOTE_ROUND_TRIP_SECONDS: f64 = 0.042;

/// Fraction of its remaining time that the expected latency of a request may take if its priority
/// is below the highest of the service. The rest leaves room in the endpoints' queues for requests
/// of the highest priority.
const LOWER_PRIORITY_TIME_FRACTION: f64 = 0.75;

/// Fraction of the queueing time that a request may expect if the priority of its workspace is below the highest
/// one. It limits the wait alone: a request that finds a free slot takes nothing from the others.
const LOWER_WORKSPACE_WAIT_FRACTION: f64 = 0.5;

/// Cost of an endpoint whose requests all fail, as a multiple of the cost of a healthy one.
const FAILURE_COST_FACTOR: f64 = 6.0;

/// Factor on the service time of a request for an object outside the endpoint's working set. Such a
/// request also delays the requests queued behind it and evicts another object from the working
/// set.
const MISS_COST_FACTOR: f64 = 2.0;

/// Lower bound of the wait limit, as a fraction of the mean service time. Without any queue, slots
/// would be idle between two requests.
const MIN_WAIT_FRACTION: f64 = 0.3;

/// Extra cost of an endpoint whose slots are all in use but whose queue is empty, relative to an
/// idle one.
const BUSY_COST_FRACTION: f64 = 0.15;

/// Upper bound of `Retry-After`, as a fraction of the request's remaining time. Callers ignore
/// longer delays.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// Lower bound of `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(30);

struct Candidate {
    key: EndpointKey,
    /// Expected time until the response, in seconds.
    latency_seconds: f64,
    /// Ranking cost: the expected latency, weighted by load, working-set misses and failures.
    cost: f64,
    /// Expected queueing time in the endpoint, in seconds.
    wait_seconds: f64,
    /// Whether the object is expected to be in the endpoint's working set.
    expected_hit: bool,
    /// Requests that must finish before this one starts, per slot of the endpoint.
    queue_per_slot: f64,
}

impl Dispatcher {
    /// Chooses the endpoint for a request and counts the request as in progress there, or refuses
    /// it. Each choice must be followed by a call of [`Dispatcher::record_outcome`].
    pub fn choose(&mut self, now: Duration, request: &Request<'_>) -> Result<Choice, Refusal> {
        if !self.services.contains_key(request.service) {
            return Err(self.refusal(RefusalReason::NoEndpoint, request, 0.0));
        }
        if request.stop_limit.is_some_and(|limit| limit.is_zero()) {
            return Err(self.refusal(RefusalReason::Stopping, request, 0.0));
        }
        if request.repeated && !self.withdraw_retry(request.service) {
            return Err(self.refusal(RefusalReason::NoRetryBudget, request, 0.0));
        }
        let Some(best) = self.best_candidate(now, request) else {
            return Err(self.refusal(RefusalReason::NoEndpoint, request, 0.0));
        };
        let excess = (best.latency_seconds - self.max_latency_seconds(request))
            .max(best.wait_seconds - self.max_wait_seconds(request));
        if excess > 0.0 {
            return Err(self.refusal(RefusalReason::TooLate, request, excess));
        }
        if (request.stop_limit).is_some_and(|limit| best.latency_seconds > limit.as_secs_f64()) {
            return Err(self.refusal(RefusalReason::Stopping, request, 0.0));
        }
        if request.tried.is_empty()
            && let Some(service) = self.services.get_mut(request.service)
        {
            service.deposit_retry_budget(&self.settings);
        }
        self.assign(now, request, &best)
            .ok_or_else(|| self.refusal(RefusalReason::NoEndpoint, request, 0.0))
    }

    fn withdraw_retry(&mut self, service: &str) -> bool {
        let service = self.services.get_mut(service);
        service.is_some_and(|s| s.retry_budget.withdraw())
    }

    /// Highest expected latency, in seconds, at which a request is still sent.
    fn max_latency_seconds(&self, request: &Request<'_>) -> f64 {
        let remaining = request.time_left.as_secs_f64();
        let service = self.services.get(request.service);
        let highest = service.map_or(0, |s| s.top_priority);
        match request.priority > highest {
            true => remaining * LOWER_PRIORITY_TIME_FRACTION,
            false => remaining,
        }
    }

    /// Highest expected queueing time, in seconds, at which a request is still sent.
    ///
    /// A longer queue does not raise the throughput, but makes all requests late. The limit is
    /// therefore the wait after which a request whose object is in the working set still meets its
    /// target latency.
    fn max_wait_seconds(&self, request: &Request<'_>) -> f64 {
        let service = self.services.get(request.service);
        let limit = match service {
            Some(service) if !request.target_latency.is_zero() => {
                let target = request.target_latency.as_secs_f64();
                let service_time_seconds = service
                    .service_time
                    .expected_seconds(request.affinity.is_some());
                (target - service_time_seconds)
                    .max(MIN_WAIT_FRACTION * service.service_time.mean_seconds())
            }
            _ => f64::INFINITY,
        };
        let lower_workspace = request
            .workspace_priority
            .is_some_and(|priority| priority > self.top_workspace_priority);
        match lower_workspace {
            true => limit.min(request.time_left.as_secs_f64()) * LOWER_WORKSPACE_WAIT_FRACTION,
            false => limit,
        }
    }

    /// Returns the best endpoint of the region selected by the shares, or of any region if that one
    /// has no candidate.
    fn best_candidate(&mut self, now: Duration, request: &Request<'_>) -> Option<Candidate> {
        self.update_shares(now, request.service);
        let regions = self.usable_regions(now, request);
        let own_region = self.settings.region();
        let service = self.services.get_mut(request.service)?;
        let selected = match request.tried.is_empty() {
            true => service
                .shares
                .select(regions.iter().map(String::as_str), request.affinity),
            // Attempts after the first prefer this entry's region.
            false => regions
                .iter()
                .find(|r| **r == own_region)
                .map(String::as_str),
        };
        let selected: Vec<String> = selected.map(str::to_string).into_iter().collect();
        let in_selected = self.best_candidate_in(now, request, &selected);
        in_selected.or_else(|| self.best_candidate_in(now, request, &regions))
    }

    /// Adjusts the shares of the regions if that is due.
    fn update_shares(&mut self, now: Duration, service: &str) {
        let due = self
            .services
            .get(service)
            .is_some_and(|s| s.shares.is_due(now));
        if !due {
            return;
        }
        let own_region = self.settings.region().to_string();
        let count = self.settings.region_count();
        let slots = self.region_slots(now, service);
        if let Some(service) = self.services.get_mut(service) {
            let load_ratio = service.region_load.load_ratio();
            (service.shares).update(now, &own_region, count, &slots, load_ratio);
        }
    }

    /// Slots of the healthy endpoints of a service in each region.
    fn region_slots(&self, now: Duration, service: &str) -> BTreeMap<String, u32> {
        let mut slots: BTreeMap<String, u32> = BTreeMap::new();
        let service = self.services.get(service);
        for key in service.map_or(&[][..], |s| &s.endpoints) {
            let Some(e) = self.endpoints.get(key).filter(|e| self.is_healthy(now, e)) else {
                continue;
            };
            let region = self.settings.region_of(&e.failure_domain);
            *slots.entry(region.to_string()).or_default() += e.slots;
        }
        slots
    }

    fn is_healthy(&self, now: Duration, e: &Endpoint) -> bool {
        e.is_usable(now, &self.evacuated) && !e.needs_probe()
    }

    /// Returns the endpoint with the lowest cost in the regions.
    fn best_candidate_in(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        regions: &[String],
    ) -> Option<Candidate> {
        let keys = self.candidates_in(now, request, regions);
        let preferred = request.affinity.and(keys.first().copied());
        let candidates = keys
            .into_iter()
            .filter_map(|key| self.evaluate(now, key, request, preferred == Some(key)));
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn evaluate(
        &self,
        now: Duration,
        key: EndpointKey,
        request: &Request<'_>,
        preferred: bool,
    ) -> Option<Candidate> {
        let e = self.endpoints.get(&key)?;
        let service = self.services.get(request.service)?;
        let expected_hit = request
            .affinity
            .is_some_and(|affinity_key| e.working_set.contains(affinity_key));
        let service_time_seconds = match (expected_hit, preferred) {
            (false, true) => service.service_time.mean_seconds(),
            (expected_hit, _) => service.service_time.expected_seconds(expected_hit),
        };
        // Other entries may have sent requests for the object to its preferred endpoint.
        let cost_service_time = match expected_hit || preferred {
            true => service.service_time.expected_seconds(true),
            false => service.service_time.expected_seconds(false) * MISS_COST_FACTOR,
        };
        let slots = f64::from(e.slots);
        let load = e.load.expected(now);
        let queue_per_slot = (load + 1.0 - slots).max(0.0) / slots;
        let wait_seconds = queue_per_slot * service.service_time.mean_seconds();
        let round_trip = match &e.failure_domain {
            domain if *domain == self.settings.failure_domain => DOMAIN_ROUND_TRIP_SECONDS,
            domain if self.settings.region_of(domain) == self.settings.region() => {
                REGION_ROUND_TRIP_SECONDS
            }
            _ => REMOTE_ROUND_TRIP_SECONDS,
        };
        let latency_seconds = round_trip + wait_seconds + service_time_seconds;
        let busy_factor = 1.0 + BUSY_COST_FRACTION * (load / slots).min(1.0);
        let failure_factor = 1.0 + (FAILURE_COST_FACTOR - 1.0) * e.failure_ratio;
        Some(Candidate {
            key,
            latency_seconds,
            cost: (round_trip + wait_seconds + cost_service_time * busy_factor) * failure_factor,
            wait_seconds,
            expected_hit,
            queue_per_slot,
        })
    }

    fn assign(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        candidate: &Candidate,
    ) -> Option<Choice> {
        let cold_interval = self.cold_interval(request.service);
        let e = self.endpoints.get(&candidate.key)?;
        let limited_interval = e.rate_limit().map(|rate| self.limited_interval(e, rate));
        let e = self.endpoints.get_mut(&candidate.key)?;
        if let Some(interval) = limited_interval {
            e.rate_limiter.record_send(now, interval);
        }
        let cold = e.is_cold(now) || e.may_have_restarted();
        match cold {
            true => e.cold_limiter.record_send(now, cold_interval),
            false => e.cold_limiter.reset(),
        }
        e.load.record_send();
        Some(Choice {
            ticket: SendTicket {
                endpoint: candidate.key,
                affinity: request.affinity,
                expected_hit: candidate.expected_hit,
                queue_per_slot: candidate.queue_per_slot,
            },
            address: e.address,
            instance: e.instance.clone(),
            expected_latency: Duration::from_secs_f64(candidate.latency_seconds),
            remote: self.settings.region_of(&e.failure_domain) != self.settings.region(),
            cold,
        })
    }

    /// Builds a refusal whose `Retry-After` covers the time in which the excess load is expected to
    /// be worked off. Jitter spreads the retries of refused callers.
    fn refusal(
        &mut self,
        reason: RefusalReason,
        request: &Request<'_>,
        excess_seconds: f64,
    ) -> Refusal {
        let max_delay = request.time_left.mul_f64(MAX_RETRY_AFTER_FRACTION);
        let excess_delay = Duration::from_secs_f64(excess_seconds.clamp(0.0, 60.0));
        let min_delay = excess_delay.clamp(MIN_RETRY_AFTER.min(max_delay), max_delay);
        let jitter = self.rng.random_range(0.0..1.0);
        Refusal {
            reason,
            retry_after: min_delay + (max_delay - min_delay).mul_f64(jitter),
        }
    }
}

use super::{Admission, PermitRecord};
use crate::class_queue::QueuedRequest;
use crate::{Action, Permit};
use mangospindle_model::{ErrorKind, RequestClass, ServiceId};
use rand::Rng;
use std::time::Duration;

/// Costs within this factor count as equal; the reported load then breaks the tie.
const EQUAL_COST_FACTOR: f64 = 1.1;

impl Admission {
    /// Rank of a class in the shed order of the service's profile. Rank 0 is shed first.
    pub(super) fn rank(&self, service: ServiceId, class: RequestClass) -> usize {
        let profile = self.config.profile_of(service);
        let in_profile = profile.and_then(|p| p.shed_order.iter().position(|c| *c == class));
        let default = RequestClass::ALL.iter().position(|c| *c == class);
        in_profile.or(default).unwrap_or(0).min(2)
    }

    /// Dispatches a request if all limits allow it at `now`.
    pub(super) fn try_dispatch(&mut self, now: Duration, queued: &QueuedRequest) -> Option<Permit> {
        let request = queued.request;
        if now >= queued.deadline || !self.confirmed_once || self.is_fenced() {
            return None;
        }
        if self.region_in_flight >= self.region_quota(now)
            || !self.cross_region_allows(now, request.service, request.home)
        {
            return None;
        }
        let position = self.pick_endpoint(now, request.service)?;
        if request.home != self.region {
            let profile = self.config.profile_of(request.service)?;
            let service = self.services.get_mut(request.service.index())?;
            service
                .cross_region_limiters
                .get_mut(request.home.index())?
                .record_admission(now, profile);
        }
        let max_deadline = self.config.topology.services[request.service.index()].max_deadline;
        let endpoint = &mut self.endpoints[position];
        endpoint.in_flight += 1;
        endpoint.stats.start_attempt();
        self.region_in_flight += 1;
        let id = self.next_id;
        self.next_id += 1;
        let record = PermitRecord {
            position,
            home: request.home,
        };
        self.permits.insert(id, record);
        Some(Permit {
            id,
            endpoint: self.endpoints[position].id,
            deadline: queued.deadline.min(now + max_deadline),
        })
    }

    /// Picks an endpoint with a free slot by the power of two random choices: of two random
    /// candidates, the one with the lower cost by this owner's own statistics.
    fn pick_endpoint(&mut self, now: Duration, service: ServiceId) -> Option<usize> {
        let state = &self.services[service.index()];
        let usable = |i: &&usize| self.endpoints[**i].is_usable(now);
        let usable: Vec<usize> = state.owned.iter().filter(usable).copied().collect();
        let all_suspect = usable.iter().all(|i| self.endpoints[*i].is_suspect(now));
        let max_slow_start_fraction = (usable.iter())
            .map(|i| self.endpoints[*i].stats.slow_start_fraction(now))
            .fold(0.0, f64::max);
        let free_slots = |i: &usize| {
            let e = &self.endpoints[*i];
            let allowed_slots = e.slow_start_slots(now, max_slow_start_fraction);
            let skipped = e.stats.is_ejected(now) || (e.is_suspect(now) && !all_suspect);
            if skipped {
                0
            } else {
                allowed_slots.saturating_sub(e.in_flight)
            }
        };
        let candidates: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|i| free_slots(i) > 0)
            .collect();
        let typical_latency_s = state.typical_latency_s();
        if candidates.is_empty() {
            return None;
        }
        let mut draw = || {
            candidates
                .get(self.rng.random_range(0..candidates.len()))
                .copied()
        };
        let (first, second) = (draw()?, draw()?);
        let cost = |i: usize| {
            let e = &self.endpoints[i];
            e.stats.cost(e.slots, typical_latency_s) / e.stats.slow_start_fraction(now)
        };
        let (a, b) = (cost(first), cost(second));
        if a.max(b) <= a.min(b) * EQUAL_COST_FACTOR {
            let prefer_second = self.endpoints[second].load < self.endpoints[first].load;
            return Some(if prefer_second { second } else { first });
        }
        Some(if b < a { second } else { first })
    }

    /// Dispatches queued requests while slots are free. Classes that are shed last go first.
    pub(super) fn dispatch_queued(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for service in 0..self.services.len() {
            for rank in (0..3).rev() {
                let mut position = 0;
                while let Some(queued) = self.services[service].queue.get(rank, position) {
                    // `expire` refuses the expired requests.
                    let unexpired = queued.expires > now;
                    let permit = unexpired.then(|| self.try_dispatch(now, &queued)).flatten();
                    if let Some(permit) = permit {
                        self.services[service].queue.remove(rank, position);
                        let ticket = queued.ticket;
                        actions.push(Action::Dispatch { ticket, permit });
                    } else if unexpired && queued.request.home == self.region {
                        break;
                    } else {
                        // A cross-region limit may block this request but not those behind it.
                        position += 1;
                    }
                }
            }
        }
    }

    /// Error for a request that got no slot: [`ErrorKind::Shed`] if classes of a higher rank wait,
    /// otherwise [`ErrorKind::NoCapacity`].
    pub(super) fn refusal_kind(&self, service: ServiceId, rank: usize) -> ErrorKind {
        let state = &self.services[service.index()];
        match state.queue.has_requests_above(rank) {
            true => ErrorKind::Shed,
            false => ErrorKind::NoCapacity,
        }
    }
}

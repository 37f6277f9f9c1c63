mod connections;
mod dispatch;
mod endpoint_state;
mod ownership;
mod parts;
mod service_state;

use crate::class_queue::Queued;
use crate::share_history::ShareHistory;
use crate::{
    Action, AdmissionRequest, Decision, EndpointProgress, EndpointReading, Permit, RequestResult,
    Ticket,
};
use endpoint_state::EndpointState;
use mangospindle_model::{EndpointId, EntryId, ErrorKind, RegionId, ServiceId};
use mangospindle_state::Config;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use service_state::ServiceState;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct PermitRecord {
    position: usize,
    home: RegionId,
}

/// Admission control of one entry for the endpoints that it owns.
///
/// No slots are kept free for classes that are shed late. Queued requests of these classes get the
/// next free slots, which was enough in the overload test: with one of 12 slots reserved, writes
/// were refused no less and 27% instead of 21% of the reads were refused at 1.2 times the capacity.
///
/// Time never runs backwards in it: an earlier `now` counts as the latest one seen.
#[derive(Debug)]
pub struct Admission {
    entry: EntryId,
    started: Duration,
    latest: Duration,
    rng: SmallRng,
    config: Arc<Config>,
    region: RegionId,
    confirmed_at: Option<Duration>,
    confirmed_once: bool,
    /// Endpoints of the own region in the order of the topology, owned or not.
    endpoints: Vec<EndpointState>,
    positions: HashMap<EndpointId, usize>,
    /// Positions of the endpoints that this entry owns, in ascending order. Events look at these
    /// only: at 880 entries, a region has about 2,420 endpoints, of which an entry owns 11.
    owned: Vec<usize>,
    services: Vec<ServiceState>,
    region_shares: ShareHistory,
    region_limited: bool,
    region_in_flight: u32,
    region_hold_until: Duration,
    cross_hold_until: Duration,
    permits: HashMap<u64, PermitRecord>,
    next_id: u64,
}

impl Admission {
    /// Queued requests per class and service for each usable slot.
    const QUEUE_PER_SLOT: usize = 4;
    /// Creates the admission control of an entry process that starts at `now`. `seed` feeds the
    /// random choices.
    pub fn new(entry: EntryId, now: Duration, seed: u64) -> Self {
        Admission {
            entry,
            started: now,
            latest: now,
            rng: SmallRng::seed_from_u64(seed),
            config: Arc::new(Config::default()),
            region: RegionId(0),
            confirmed_at: None,
            confirmed_once: false,
            endpoints: Vec::new(),
            positions: HashMap::new(),
            owned: Vec::new(),
            services: Vec::new(),
            region_shares: ShareHistory::default(),
            region_limited: false,
            region_in_flight: 0,
            region_hold_until: Duration::ZERO,
            cross_hold_until: Duration::ZERO,
            permits: HashMap::new(),
            next_id: 0,
        }
    }

    fn advance(&mut self, now: Duration) -> Duration {
        self.latest = self.latest.max(now);
        self.latest
    }

    /// Applies a configuration; lower versions are ignored. Versions may be skipped: increased shares
    /// then wait as if a share had decreased.
    pub fn update_config(&mut self, now: Duration, config: Arc<Config>) -> Vec<Action> {
        let now = self.advance(now);
        let known = self.entry.index() < config.topology.entries.len();
        if config.version <= self.config.version || !known {
            return Vec::new();
        }
        // The first configuration has none before it; the waits after a start cover it.
        let skipped = self.config.version != 0 && config.version != self.config.version + 1;
        self.config = config;
        let topology = &self.config.topology;
        self.region = topology.entry_region(self.entry);
        let (services, regions) = (topology.services.len(), topology.regions.len());
        self.services.resize_with(services, ServiceState::default);
        for service in &mut self.services {
            service.cross.resize_with(regions, Default::default);
        }
        // Endpoints first: their positions are those of the shares. Whether the region is limited
        // must be known when ownership is taken over.
        self.add_endpoints(now);
        self.update_shares(now, skipped);
        self.update_ownership(now);
        self.after_event(now)
    }

    /// A control replica, or a peer, knew `age` ago that `version` was the current configuration.
    /// Ignored unless `version` is the one that was applied last.
    pub fn confirm(&mut self, now: Duration, version: u64, age: Duration) -> Vec<Action> {
        let now = self.advance(now);
        let since_start = now - self.started;
        if version != self.config.version || version == 0 || age > since_start {
            return Vec::new();
        }
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
        if !self.confirmed_once {
            self.confirmed_once = true;
            // Other owners may still act on configurations that this process never saw.
            self.cross_hold_until = now + self.cross_hold();
            if self.region_limited {
                self.region_hold_until = now + self.region_hold();
            }
        }
        self.after_event(now)
    }

    /// Decides about a request.
    pub fn request(&mut self, now: Duration, request: AdmissionRequest) -> Decision {
        let now = self.advance(now);
        if request.service.index() >= self.services.len() {
            return Decision::Refused(ErrorKind::UnknownService);
        }
        if request.remaining.is_zero() {
            return Decision::Refused(ErrorKind::DeadlineBeforeDispatch);
        }
        let rank = self.rank(request.service, request.class);
        let usable_slots = self.usable_slots(now, request.service);
        if usable_slots == 0 || !self.confirmed_once || self.is_fenced() {
            return Decision::Refused(ErrorKind::NoEndpoint);
        }
        if !self.cross_region_admits(now, request.service, request.home) {
            return Decision::Refused(ErrorKind::CrossRegionLimit);
        }
        let ticket = Ticket(self.next_id);
        self.next_id += 1;
        let profile = self.config.profile_of(request.service);
        let timeout = profile.map_or(Duration::ZERO, |p| p.queue_timeout);
        let deadline = now + request.remaining;
        let queued = Queued {
            ticket,
            request,
            deadline,
            expires: deadline.min(now + timeout),
        };
        if let Some(permit) = self.try_dispatch(now, &queued) {
            return Decision::Dispatch(permit);
        }
        let bound = usable_slots as usize * Self::QUEUE_PER_SLOT;
        let queue = &mut self.services[request.service.index()].queue;
        if queue.len(rank) < bound && queued.expires > now {
            queue.push(rank, queued);
            return Decision::Queued(ticket);
        }
        Decision::Refused(self.refusal(request.service, rank))
    }

    /// Forgets a queued request whose caller gave up. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.services.iter_mut().any(|s| s.queue.cancel(ticket))
    }

    /// Frees the slot of a dispatched request and starts queued ones.
    ///
    /// The slot is free at once. Call this only when the endpoint no longer works on the request:
    /// after a complete answer, when it has confirmed a cancellation, or at [`Permit::deadline`].
    /// An attempt that was given up earlier may still occupy the endpoint.
    pub fn finish(&mut self, now: Duration, permit: Permit, result: RequestResult) -> Vec<Action> {
        let now = self.advance(now);
        let Some(record) = self.permits.remove(&permit.id) else {
            return Vec::new();
        };
        self.region_in_flight -= 1;
        let endpoint = &mut self.endpoints[record.position];
        endpoint.in_flight -= 1;
        endpoint.stats.end_attempt();
        let service = endpoint.service;
        let mut good = true;
        match result {
            RequestResult::Answered { first_byte } => {
                endpoint.stats.record_latency(now, first_byte);
                endpoint.stats.record_success(now);
                endpoint.answered_at = Some(now);
                good = self.services[service.index()].record_latency(first_byte);
            }
            RequestResult::Failed | RequestResult::TimedOut | RequestResult::Shed => {
                endpoint.stats.record_failure(now);
                self.eject_if_bad(now, record.position);
                good = false;
            }
            RequestResult::Cancelled => {}
        }
        let cross = (self.services[service.index()].cross).get_mut(record.home.index());
        if let (Some(cross), Some(profile)) = (cross, self.config.profile_of(service))
            && record.home != self.region
            && result != RequestResult::Cancelled
        {
            cross.answered(now, good, profile);
        }
        self.after_event(now)
    }

    /// Ejects an endpoint that fails too often, unless half of the service's endpoints are ejected
    /// already.
    fn eject_if_bad(&mut self, now: Duration, position: usize) {
        let service = &self.services[self.endpoints[position].service.index()];
        let usable = |i: &&usize| self.endpoints[**i].is_usable(now);
        let usable: Vec<usize> = service.owned.iter().filter(usable).copied().collect();
        let out = (usable.iter())
            .filter(|i| **i != position && self.endpoints[**i].stats.is_ejected(now))
            .count();
        let room = (out + 1) * 2 <= usable.len();
        let stats = &mut self.endpoints[position].stats;
        if room && !stats.is_ejected(now) && stats.should_eject() {
            stats.eject(now, &mut self.rng);
        }
    }

    /// Does what is due: refuses queued requests whose time is over, and starts queued ones for
    /// which slots have become usable. Call it at [`Admission::next_expiry`] and at least every
    /// 100 ms while requests are queued.
    pub fn expire(&mut self, now: Duration) -> Vec<Action> {
        let now = self.advance(now);
        let mut actions = Vec::new();
        for service in 0..self.services.len() {
            for (rank, queued) in self.services[service].queue.take_expired(now) {
                let kind = match queued.deadline <= now {
                    true => ErrorKind::DeadlineBeforeDispatch,
                    false => self.refusal(ServiceId(service as u16), rank),
                };
                let ticket = queued.ticket;
                actions.push(Action::Refuse { ticket, kind });
            }
        }
        actions.extend(self.after_event(now));
        actions
    }

    /// When the next queued request must be refused.
    pub fn next_expiry(&self) -> Option<Duration> {
        let services = self.services.iter();
        services.filter_map(|s| s.queue.next_expiry()).min()
    }

    /// Work that is left at an endpoint of the own region.
    pub fn progress(&self, endpoint: EndpointId) -> Option<EndpointProgress> {
        let endpoint = &self.endpoints[*self.positions.get(&endpoint)?];
        Some(EndpointProgress {
            in_flight: endpoint.in_flight,
            drained_in: endpoint.drained_in,
        })
    }

    /// Records a reading of an endpoint.
    pub fn observe(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        reading: EndpointReading,
    ) -> Vec<Action> {
        let now = self.advance(now);
        let Some(position) = self.positions.get(&endpoint) else {
            return Vec::new();
        };
        let endpoint = &mut self.endpoints[*position];
        match reading {
            EndpointReading::Healthy { load } => {
                endpoint.unanswered = 0;
                endpoint.leaving_by_health = false;
                endpoint.load = load;
            }
            EndpointReading::Leaving => {
                endpoint.unanswered = 0;
                endpoint.leaving_by_health = true;
            }
            EndpointReading::Unanswered => endpoint.unanswered += 1,
            EndpointReading::VmList { leaving } => endpoint.leaving_by_vm_list = leaving,
        }
        self.after_event(now)
    }

    fn usable_slots(&self, now: Duration, service: ServiceId) -> u32 {
        let owned = self.services[service.index()].owned.iter();
        let usable = owned.filter(|i| self.endpoints[**i].is_usable(now));
        usable.map(|i| self.endpoints[*i].slots).sum()
    }

    fn after_event(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.confirmed_once {
            self.start_rehoming(now);
            self.pump(now, &mut actions);
            self.report_drains(now, &mut actions);
        }
        actions
    }
}

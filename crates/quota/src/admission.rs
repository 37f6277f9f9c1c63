mod connections;
mod dispatch;
mod endpoint_state;
mod ownership;
mod quotas;
mod service_state;

use crate::class_queue::QueuedRequest;
use crate::share_history::ShareHistory;
use crate::{
    Action, AdmissionRequest, Decision, EndpointObservation, EndpointProgress, Permit,
    RequestResult, Ticket,
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

/// State of a dispatched request.
#[derive(Clone, Copy, Debug)]
struct PermitRecord {
    position: usize,
    home: RegionId,
}

/// Admission control of one entry for the endpoints that it owns.
///
/// No slots are reserved for classes that are shed late, because their queued requests get the next
/// free slots. In the overload test at 1.2 times the capacity, reserving one of 12 slots did not
/// reduce the refusals of writes. It raised the fraction of refused reads from 21% to 27%.
///
/// A `now` earlier than the latest one seen is replaced by the latest one.
#[derive(Debug)]
pub struct Admission {
    entry: EntryId,
    /// Start of the process.
    started_at: Duration,
    /// Latest time that a caller has passed.
    latest_now: Duration,
    rng: SmallRng,
    config: Arc<Config>,
    region: RegionId,
    /// Latest time at which a confirmed configuration was known to be current.
    confirmed_at: Option<Duration>,
    /// Whether any configuration was confirmed to this process. Nothing is dispatched before.
    confirmed_once: bool,
    /// All endpoints of the own region, owned or not, in the order of the topology.
    endpoints: Vec<EndpointState>,
    /// Indices into `endpoints`.
    positions: HashMap<EndpointId, usize>,
    /// Positions of the endpoints that this entry owns, in ascending order. Events only visit
    /// these: with 880 entries, a region has about 2,420 endpoints, of which an entry owns 11.
    owned: Vec<usize>,
    services: Vec<ServiceState>,
    region_shares: ShareHistory,
    /// Whether the region limit is below the sum of the region's slots.
    region_limited: bool,
    region_in_flight: u32,
    /// After the start of the process, the owner's quota of the region limit is zero until then.
    region_hold_until: Duration,
    /// After the start of the process, no cross-region request is admitted until then.
    cross_region_hold_until: Duration,
    /// Dispatched requests, by the id of the permit.
    permits: HashMap<u64, PermitRecord>,
    /// Next id of a ticket or permit.
    next_id: u64,
}

impl Admission {
    /// Maximum number of queued requests per usable slot, for each class of each service.
    const MAX_QUEUED_PER_SLOT: usize = 4;
    /// Creates the admission control of an entry process that starts at `now`. Random choices are
    /// derived from `seed`.
    pub fn new(entry: EntryId, now: Duration, seed: u64) -> Self {
        Admission {
            entry,
            started_at: now,
            latest_now: now,
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
            cross_region_hold_until: Duration::ZERO,
            permits: HashMap::new(),
            next_id: 0,
        }
    }

    /// Returns `now`, or the latest time seen if `now` is earlier.
    fn advance_clock(&mut self, now: Duration) -> Duration {
        self.latest_now = self.latest_now.max(now);
        self.latest_now
    }

    /// Applies a configuration. A version that is not newer than the applied one is ignored.
    ///
    /// Versions may be skipped. Increased shares are then held back as if a share had decreased.
    pub fn update_config(&mut self, now: Duration, config: Arc<Config>) -> Vec<Action> {
        let now = self.advance_clock(now);
        let entry_known = self.entry.index() < config.topology.entries.len();
        if config.version <= self.config.version || !entry_known {
            return Vec::new();
        }
        // The hold times after a start cover versions before the first configuration.
        let versions_skipped =
            self.config.version != 0 && config.version != self.config.version + 1;
        self.config = config;
        let topology = &self.config.topology;
        self.region = topology.entry_region(self.entry);
        let (services, regions) = (topology.services.len(), topology.regions.len());
        self.services.resize_with(services, ServiceState::default);
        for service in &mut self.services {
            service
                .cross_region_limiters
                .resize_with(regions, Default::default);
        }
        // The order matters: shares are indexed by the positions of endpoints, and a takeover
        // depends on whether the region is limited.
        self.add_endpoints(now);
        self.update_shares(now, versions_skipped);
        self.update_ownership(now);
        self.after_event(now)
    }

    /// Records that `version` was the current configuration `age` ago, according to a control
    /// replica or a peer.
    ///
    /// The confirmation is ignored if `version` is not the applied one, or if it is older than this
    /// process.
    pub fn confirm_config(&mut self, now: Duration, version: u64, age: Duration) -> Vec<Action> {
        let now = self.advance_clock(now);
        let since_start = now - self.started_at;
        if version != self.config.version || version == 0 || age > since_start {
            return Vec::new();
        }
        self.confirmed_at = self.confirmed_at.max(Some(now - age));
        if !self.confirmed_once {
            self.confirmed_once = true;
            // Other owners may still use configurations that this process has never seen.
            self.cross_region_hold_until = now + self.cross_region_hold();
            if self.region_limited {
                self.region_hold_until = now + self.region_hold();
            }
        }
        self.after_event(now)
    }

    /// Dispatches, queues or refuses a request.
    pub fn request(&mut self, now: Duration, request: AdmissionRequest) -> Decision {
        let now = self.advance_clock(now);
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
        if !self.cross_region_allows(now, request.service, request.home) {
            return Decision::Refused(ErrorKind::CrossRegionLimit);
        }
        let ticket = Ticket(self.next_id);
        self.next_id += 1;
        let profile = self.config.profile_of(request.service);
        let timeout = profile.map_or(Duration::ZERO, |p| p.queue_timeout);
        let deadline = now + request.remaining;
        let queued = QueuedRequest {
            ticket,
            request,
            deadline,
            expires: deadline.min(now + timeout),
        };
        if let Some(permit) = self.try_dispatch(now, &queued) {
            return Decision::Dispatch(permit);
        }
        let max_queued = usable_slots as usize * Self::MAX_QUEUED_PER_SLOT;
        let queue = &mut self.services[request.service.index()].queue;
        if queue.len(rank) < max_queued && queued.expires > now {
            queue.push(rank, queued);
            return Decision::Queued(ticket);
        }
        Decision::Refused(self.refusal_kind(request.service, rank))
    }

    /// Removes a queued request whose caller gave up. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.services.iter_mut().any(|s| s.queue.cancel(ticket))
    }

    /// Frees the slot of a dispatched request and dispatches queued requests.
    ///
    /// The slot is reused immediately. Call this only when the endpoint no longer works on the
    /// request: after a complete answer, after a confirmed cancellation, or at
    /// [`Permit::deadline`]. An attempt that was abandoned earlier may still occupy the endpoint.
    pub fn finish(&mut self, now: Duration, permit: Permit, result: RequestResult) -> Vec<Action> {
        let now = self.advance_clock(now);
        let Some(record) = self.permits.remove(&permit.id) else {
            return Vec::new();
        };
        self.region_in_flight -= 1;
        let endpoint = &mut self.endpoints[record.position];
        endpoint.in_flight -= 1;
        endpoint.stats.end_attempt();
        let service = endpoint.service;
        let mut fast_success = true;
        match result {
            RequestResult::Answered { first_byte } => {
                endpoint.stats.record_latency(now, first_byte);
                endpoint.stats.record_success(now);
                endpoint.last_answer_at = Some(now);
                fast_success = self.services[service.index()].record_latency(first_byte);
            }
            RequestResult::Failed | RequestResult::TimedOut | RequestResult::Shed => {
                endpoint.stats.record_failure(now);
                self.eject_if_failing(now, record.position);
                fast_success = false;
            }
            RequestResult::Cancelled => {}
        }
        let limiter =
            (self.services[service.index()].cross_region_limiters).get_mut(record.home.index());
        if let (Some(limiter), Some(profile)) = (limiter, self.config.profile_of(service))
            && record.home != self.region
            && result != RequestResult::Cancelled
        {
            limiter.record_result(now, fast_success, profile);
        }
        self.after_event(now)
    }

    /// Ejects an endpoint that fails too often, unless more than half of the service's usable
    /// endpoints would then be ejected.
    fn eject_if_failing(&mut self, now: Duration, position: usize) {
        let service = &self.services[self.endpoints[position].service.index()];
        let usable = |i: &&usize| self.endpoints[**i].is_usable(now);
        let usable: Vec<usize> = service.owned.iter().filter(usable).copied().collect();
        let ejected = (usable.iter())
            .filter(|i| **i != position && self.endpoints[**i].stats.is_ejected(now))
            .count();
        let below_limit = (ejected + 1) * 2 <= usable.len();
        let stats = &mut self.endpoints[position].stats;
        if below_limit && !stats.is_ejected(now) && stats.should_eject() {
            stats.eject(now, &mut self.rng);
        }
    }

    /// Refuses queued requests that expired by `now`, and dispatches queued requests for which
    /// slots have become usable.
    ///
    /// Call this at [`Admission::next_expiry`], and at least every 100 ms while requests are
    /// queued.
    pub fn expire(&mut self, now: Duration) -> Vec<Action> {
        let now = self.advance_clock(now);
        let mut actions = Vec::new();
        for service in 0..self.services.len() {
            for (rank, queued) in self.services[service].queue.take_expired(now) {
                let kind = match queued.deadline <= now {
                    true => ErrorKind::DeadlineBeforeDispatch,
                    false => self.refusal_kind(ServiceId(service as u16), rank),
                };
                let ticket = queued.ticket;
                actions.push(Action::Refuse { ticket, kind });
            }
        }
        actions.extend(self.after_event(now));
        actions
    }

    /// Time at which the next queued request expires; `None` if no request is queued.
    pub fn next_expiry(&self) -> Option<Duration> {
        let services = self.services.iter();
        services.filter_map(|s| s.queue.next_expiry()).min()
    }

    /// Remaining work at an endpoint of the own region; `None` for other endpoints.
    pub fn progress(&self, endpoint: EndpointId) -> Option<EndpointProgress> {
        let endpoint = &self.endpoints[*self.positions.get(&endpoint)?];
        Some(EndpointProgress {
            in_flight: endpoint.in_flight,
            drained_in: endpoint.drained_in,
        })
    }

    /// Records the result of a health check, or what the VM list says about the endpoint.
    pub fn observe(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        observation: EndpointObservation,
    ) -> Vec<Action> {
        let now = self.advance_clock(now);
        let Some(position) = self.positions.get(&endpoint) else {
            return Vec::new();
        };
        let endpoint = &mut self.endpoints[*position];
        match observation {
            EndpointObservation::Healthy { load } => {
                endpoint.unanswered_checks = 0;
                endpoint.leaving_by_health = false;
                endpoint.load = load;
            }
            EndpointObservation::Leaving => {
                endpoint.unanswered_checks = 0;
                endpoint.leaving_by_health = true;
            }
            EndpointObservation::Unresponsive => endpoint.unanswered_checks += 1,
            EndpointObservation::VmList { leaving } => endpoint.leaving_by_vm_list = leaving,
        }
        self.after_event(now)
    }

    /// Slots of the usable endpoints of a service that this entry owns, free or not.
    fn usable_slots(&self, now: Duration, service: ServiceId) -> u32 {
        let owned = self.services[service.index()].owned.iter();
        let usable = owned.filter(|i| self.endpoints[**i].is_usable(now));
        usable.map(|i| self.endpoints[*i].slots).sum()
    }

    /// Starts handovers, dispatches queued requests and reports drains after any change of the
    /// state.
    fn after_event(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.confirmed_once {
            self.start_handovers(now);
            self.dispatch_queued(now, &mut actions);
            self.report_drains(now, &mut actions);
        }
        actions
    }
}

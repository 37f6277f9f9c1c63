mod choose;
mod entry_health;
mod lookup;
mod owner;
mod refusal_ratio;
mod regions;
mod retry;
mod service_owners;

use crate::{Attempts, ClientHome, OwnerEvent, RetryDecision};
use choose::Availability;
use entry_health::EntryHealth;
use mangospindle_model::{EntryId, ErrorKind, RequestClass, ServiceId};
use mangospindle_state::Config;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use regions::Regions;
use service_owners::ServiceOwners;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of entries that a lookup returns.
pub const MAX_LOOKUP_ENTRIES: usize = 6;

/// Routing decisions of an ingress entry: lookup order, choice of owner, retries and hedging.
///
/// An owner is chosen among those that are responsive, not ejected and not in backoff after a
/// refusal. If there are none, less available owners are used. The owner with the lowest cost by
/// the weights of the service's profile is preferred. Owners of nearly equal cost are tied: two of
/// them are drawn at random, and the less loaded one is used.
#[derive(Debug)]
pub struct Router {
    entry: EntryId,
    config: Arc<Config>,
    rng: SmallRng,
    regions: Regions,
    services: Vec<ServiceOwners>,
    entries: Vec<EntryHealth>,
}

impl Router {
    /// Creates the router of an entry, without a configuration. `seed` seeds the random choices.
    pub fn new(entry: EntryId, seed: u64) -> Self {
        Router {
            entry,
            config: Arc::new(Config::default()),
            rng: SmallRng::seed_from_u64(seed),
            regions: Regions::default(),
            services: Vec::new(),
            entries: Vec::new(),
        }
    }

    /// Replaces the configuration and keeps the observations of owners that remain. A configuration
    /// with a lower version is ignored.
    pub fn update_config(&mut self, now: Duration, config: Arc<Config>) {
        if config.version < self.config.version {
            return;
        }
        let topology = &config.topology;
        self.regions = Regions::new(topology);
        self.entries
            .resize_with(topology.entries.len(), EntryHealth::default);
        self.services
            .resize_with(topology.services.len(), ServiceOwners::default);
        for (i, service) in self.services.iter_mut().enumerate() {
            service.update(now, ServiceId(i as u16), &config);
        }
        self.config = config;
    }

    /// Returns the entries that a client should use for a service, in order of preference and at
    /// most [`MAX_LOOKUP_ENTRIES`]. Entries of the preferred failure domain come first, then the
    /// home region, then other regions by latency. Clients are spread over equally good entries by
    /// their address block.
    pub fn lookup(&self, client: &ClientHome, service: ServiceId) -> Vec<EntryId> {
        self.lookup_entries(client, service)
    }

    /// Chooses the owner for the first attempt of a request, or for the attempt allowed by a
    /// [`RetryDecision::Retry`], and counts the attempt as in flight.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::DeadlineBeforeDispatch`] if the deadline has passed. If there is no
    /// owner left to try, returns [`ErrorKind::NoEndpoint`] if none was tried and
    /// [`ErrorKind::NoCapacity`] otherwise.
    pub fn choose_owner(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
    ) -> Result<EntryId, ErrorKind> {
        if now >= attempts.deadline {
            return Err(ErrorKind::DeadlineBeforeDispatch);
        }
        let may_repeat = attempts.class == RequestClass::Read;
        let owner = self.select_owner(now, attempts, Availability::Unhealthy, may_repeat);
        let owner = match owner {
            Some(owner) => owner,
            None if attempts.tried.is_empty() => return Err(ErrorKind::NoEndpoint),
            None => return Err(ErrorKind::NoCapacity),
        };
        if attempts.tried.is_empty() && attempts.ownership_waits == 0 {
            let profile = self.config.profile_of(attempts.service);
            let fraction = profile.map_or(0.0, |p| p.retry_budget);
            self.services[attempts.service.index()]
                .budget
                .deposit(fraction);
        }
        self.record_attempt(attempts, owner);
        Ok(owner)
    }

    fn record_attempt(&mut self, attempts: &mut Attempts, owner: EntryId) {
        attempts.tried.push(owner);
        let service = self.services.get_mut(attempts.service.index());
        if let Some(owner) = service.and_then(|s| s.owner_mut(owner)) {
            owner.stats.start_attempt();
        }
    }

    /// Decides whether to retry after a failed or refused attempt. Call [`Router::observe`] first.
    /// `kind` is the error that the caller would receive without a retry.
    pub fn after_failure(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
        kind: ErrorKind,
    ) -> RetryDecision {
        self.decide_retry(now, attempts, kind)
    }

    /// Delay after the first attempt at which to call [`Router::hedge`], or `None` if the request
    /// must not be hedged.
    pub fn hedge_delay(&self, attempts: &Attempts) -> Option<Duration> {
        self.profile_hedge_delay(attempts)
    }

    /// Starts the hedge of a request whose response has not started. Returns the owner for the
    /// second attempt and counts the attempt as in flight, or returns `None` if the request must
    /// not be hedged.
    pub fn hedge(&mut self, now: Duration, attempts: &mut Attempts) -> Option<EntryId> {
        self.start_hedge(now, attempts)
    }

    /// Records an observation of an owner.
    pub fn observe(
        &mut self,
        now: Duration,
        owner: EntryId,
        service: ServiceId,
        event: OwnerEvent,
    ) {
        let health = self.entries.get_mut(owner.index());
        match event {
            OwnerEvent::TimedOut => health.into_iter().for_each(EntryHealth::record_timeout),
            OwnerEvent::Failed | OwnerEvent::Cancelled => {}
            _ => health.into_iter().for_each(EntryHealth::record_response),
        }
        let Some(state) = self.services.get_mut(service.index()) else {
            return;
        };
        match event {
            OwnerEvent::ResponseStarted { after } => state.record_latency(after),
            OwnerEvent::ResponseComplete { .. } => state.refusals.record(now, false),
            OwnerEvent::Refused { kind } if is_capacity_refusal(kind) => {
                state.refusals.record(now, true)
            }
            _ => {}
        }
        let Some(owner_state) = state.owner_mut(owner) else {
            return;
        };
        match event {
            OwnerEvent::ResponseStarted { after } => {
                owner_state.stats.record_latency(now, after);
                owner_state.record_accepted();
            }
            OwnerEvent::ResponseComplete { .. } => {
                owner_state.stats.end_attempt();
                owner_state.stats.record_success(now);
            }
            OwnerEvent::Refused { kind } => {
                owner_state.stats.end_attempt();
                let cross_region_only = kind == ErrorKind::CrossRegionLimit;
                if is_capacity_refusal(kind) || kind == ErrorKind::NoEndpoint {
                    owner_state.start_backoff(now, cross_region_only, &mut self.rng);
                }
            }
            OwnerEvent::Failed | OwnerEvent::TimedOut => {
                owner_state.stats.end_attempt();
                owner_state.stats.record_failure(now);
                self.eject_if_failing(now, owner, service);
            }
            OwnerEvent::Cancelled => owner_state.stats.end_attempt(),
            OwnerEvent::FreeSlots { free } => owner_state.record_free_slots(now, free),
        }
    }

    /// Ejects an owner that fails too often, unless more than half of the owners would then be
    /// ejected or unresponsive.
    fn eject_if_failing(&mut self, now: Duration, owner: EntryId, service: ServiceId) {
        let unresponsive = |e: EntryId| self.is_unresponsive(e);
        let owners = &self.services[service.index()].owners;
        let unavailable = (owners.iter())
            .filter(|o| o.entry != owner && (o.stats.is_ejected(now) || unresponsive(o.entry)))
            .count();
        let may_eject = (unavailable + 1) * 2 <= owners.len();
        let Some(owner_state) = self.services[service.index()].owner_mut(owner) else {
            return;
        };
        if may_eject && !owner_state.stats.is_ejected(now) && owner_state.stats.should_eject() {
            owner_state.stats.eject(now, &mut self.rng);
        }
    }

    /// Records the result of a probe of an entry, which applies to all services. `round_trip` is
    /// `None` if the probe was not answered.
    pub fn observe_probe(&mut self, entry: EntryId, round_trip: Option<Duration>) {
        if let Some(health) = self.entries.get_mut(entry.index()) {
            health.record_probe(round_trip);
        }
    }

    /// Jittered `Retry-After` for a refused request: at least 1 s, growing with the fraction of
    /// recent attempts of the service that were refused.
    pub fn retry_after(&mut self, now: Duration, service: ServiceId) -> Duration {
        let state = self.services.get(service.index());
        let refusal_ratio = state.map_or(0.0, |s| s.refusals.ratio(now));
        self.jittered_retry_after(refusal_ratio)
    }

    /// Owners of a service that are ejected at `now`.
    pub fn ejected_owners(&self, now: Duration, service: ServiceId) -> Vec<EntryId> {
        let owners = (self.services.get(service.index())).map_or(&[][..], |s| &s.owners);
        let ejected = owners.iter().filter(|o| o.stats.is_ejected(now));
        ejected.map(|o| o.entry).collect()
    }

    fn is_unresponsive(&self, entry: EntryId) -> bool {
        (self.entries.get(entry.index())).is_some_and(EntryHealth::is_unresponsive)
    }
}

/// Whether a refusal means that the owner currently has no capacity for the request.
fn is_capacity_refusal(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoCapacity | ErrorKind::Shed | ErrorKind::CrossRegionLimit | ErrorKind::Draining
    )
}

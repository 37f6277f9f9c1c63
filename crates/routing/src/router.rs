mod choose;
mod entry_health;
mod lookup;
mod owner;
mod pressure;
mod regions;
mod retry;
mod service_owners;

use crate::{Attempts, ClientHome, OwnerEvent, RetryDecision};
use choose::Quality;
use entry_health::EntryHealth;
use mangospindle_model::{EntryId, ErrorKind, RequestClass, ServiceId};
use mangospindle_state::Config;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use regions::Regions;
use service_owners::ServiceOwners;
use std::sync::Arc;
use std::time::Duration;

/// Most entries in the answer to a lookup.
pub const MAX_LOOKUP_ENTRIES: usize = 6;

/// Decisions of the entry that a caller reaches: lookup order, choice of owner, retries, hedges.
///
/// An owner is chosen among those that are responsive, not ejected and did not refuse a moment ago,
/// if there are any. Among them the lowest cost by the weights of the service's profile counts; of
/// nearly equal ones, two are drawn and the less loaded one is taken.
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
    /// Creates the router of an entry, without a configuration. `seed` feeds the random choices.
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

    /// Replaces the configuration. Observations of known owners are kept; lower versions are
    /// ignored.
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

    /// Ordered list of the entries that a client should use for a service, at most
    /// [`MAX_LOOKUP_ENTRIES`]: the preferred failure domain first, then the home region, then others
    /// by latency. Equal choices are spread by client block.
    pub fn lookup(&self, client: &ClientHome, service: ServiceId) -> Vec<EntryId> {
        self.lookup_entries(client, service)
    }

    /// Chooses the owner for the first attempt of a request, or for the one that a
    /// [`RetryDecision::Retry`] allowed, and counts it as in flight.
    pub fn choose_owner(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
    ) -> Result<EntryId, ErrorKind> {
        if now >= attempts.deadline {
            return Err(ErrorKind::DeadlineBeforeDispatch);
        }
        let may_repeat = attempts.class == RequestClass::Read;
        let owner = self.pick(now, attempts, Quality::Bad, may_repeat);
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
        self.sent(attempts, owner);
        Ok(owner)
    }

    fn sent(&mut self, attempts: &mut Attempts, owner: EntryId) {
        attempts.tried.push(owner);
        let service = self.services.get_mut(attempts.service.index());
        if let Some(owner) = service.and_then(|s| s.owner_mut(owner)) {
            owner.stats.start_attempt();
        }
    }

    /// Decides what follows a failed or refused attempt, after the event was observed. `kind` is
    /// the error that the caller would get.
    pub fn after_failure(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
        kind: ErrorKind,
    ) -> RetryDecision {
        self.decide_retry(now, attempts, kind)
    }

    /// Time after the first attempt at which [`Router::hedge`] should be asked, if the request may
    /// be hedged.
    pub fn hedge_delay(&self, attempts: &Attempts) -> Option<Duration> {
        self.hedge_after(attempts)
    }

    /// Starts the hedge of a request whose answer has not started: returns the owner for the second
    /// attempt and counts it as in flight, or `None` if the request must not be hedged.
    pub fn hedge(&mut self, now: Duration, attempts: &mut Attempts) -> Option<EntryId> {
        self.decide_hedge(now, attempts)
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
            OwnerEvent::TimedOut => health.into_iter().for_each(EntryHealth::unanswered),
            OwnerEvent::Failed | OwnerEvent::Cancelled => {}
            _ => health.into_iter().for_each(EntryHealth::answered),
        }
        let Some(state) = self.services.get_mut(service.index()) else {
            return;
        };
        match event {
            OwnerEvent::ResponseStarted { after } => state.record_latency(after),
            OwnerEvent::ResponseComplete { .. } => state.pressure.record(now, false),
            OwnerEvent::Refused { kind } if is_pressure(kind) => state.pressure.record(now, true),
            _ => {}
        }
        let Some(item) = state.owner_mut(owner) else {
            return;
        };
        match event {
            OwnerEvent::ResponseStarted { after } => {
                item.stats.record_latency(now, after);
                item.accepted();
            }
            OwnerEvent::ResponseComplete { .. } => {
                item.stats.end_attempt();
                item.stats.record_success(now);
            }
            OwnerEvent::Refused { kind } => {
                item.stats.end_attempt();
                let cross_region_only = kind == ErrorKind::CrossRegionLimit;
                if is_pressure(kind) || kind == ErrorKind::NoEndpoint {
                    item.back_off(now, cross_region_only, &mut self.rng);
                }
            }
            OwnerEvent::Failed | OwnerEvent::TimedOut => {
                item.stats.end_attempt();
                item.stats.record_failure(now);
                self.eject_if_bad(now, owner, service);
            }
            OwnerEvent::Cancelled => item.stats.end_attempt(),
            OwnerEvent::FreeSlots { free } => item.report_free(now, free),
        }
    }

    /// Ejects an owner that fails too often, unless half of the owners are out already.
    fn eject_if_bad(&mut self, now: Duration, owner: EntryId, service: ServiceId) {
        let unresponsive = |e: EntryId| self.is_unresponsive(e);
        let owners = &self.services[service.index()].owners;
        let out = (owners.iter())
            .filter(|o| o.entry != owner && (o.stats.is_ejected(now) || unresponsive(o.entry)))
            .count();
        let room = (out + 1) * 2 <= owners.len();
        let Some(item) = self.services[service.index()].owner_mut(owner) else {
            return;
        };
        if room && !item.stats.is_ejected(now) && item.stats.should_eject() {
            item.stats.eject(now, &mut self.rng);
        }
    }

    /// Records the result of a probe of an entry, for all services.
    pub fn observe_probe(&mut self, entry: EntryId, round_trip: Option<Duration>) {
        if let Some(health) = self.entries.get_mut(entry.index()) {
            health.probed(round_trip);
        }
    }

    /// Jittered `Retry-After` for a refused request: at least 1 s, growing with the recent share of
    /// refusals of the service.
    pub fn retry_after(&mut self, now: Duration, service: ServiceId) -> Duration {
        let state = self.services.get(service.index());
        let pressure = state.map_or(0.0, |s| s.pressure.share(now));
        self.draw_retry_after(pressure)
    }

    /// Owners of a service that are ejected now.
    pub fn ejected_owners(&self, now: Duration, service: ServiceId) -> Vec<EntryId> {
        let owners = (self.services.get(service.index())).map_or(&[][..], |s| &s.owners);
        let ejected = owners.iter().filter(|o| o.stats.is_ejected(now));
        ejected.map(|o| o.entry).collect()
    }

    fn is_unresponsive(&self, entry: EntryId) -> bool {
        (self.entries.get(entry.index())).is_some_and(EntryHealth::is_unresponsive)
    }
}

/// Whether a refusal means that the owner has no capacity for the request now.
fn is_pressure(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoCapacity | ErrorKind::Shed | ErrorKind::CrossRegionLimit | ErrorKind::Draining
    )
}

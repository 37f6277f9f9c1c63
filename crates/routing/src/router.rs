use crate::{Attempts, ClientHome, OwnerEvent, RetryDecision};
use mangospindle_model::{EntryId, ErrorKind, ServiceId};
use mangospindle_state::Config;
use std::sync::Arc;
use std::time::Duration;

/// Most entries in the answer to a lookup.
pub const MAX_LOOKUP_ENTRIES: usize = 6;

/// Decisions of the entry that a caller reaches: lookup order, choice of owner, retries, hedges.
#[derive(Debug)]
pub struct Router {
    entry: EntryId,
    config: Arc<Config>,
}

impl Router {
    /// Creates the router of an entry, without a configuration. `seed` feeds the random choices.
    pub fn new(entry: EntryId, seed: u64) -> Self {
        let _ = seed;
        Router {
            entry,
            config: Arc::new(Config::default()),
        }
    }

    /// Replaces the configuration. Observations of known owners are kept; lower versions are
    /// ignored.
    pub fn update_config(&mut self, now: Duration, config: Arc<Config>) {
        let _ = now;
        self.config = config;
    }

    /// Ordered list of the entries that a client should use for a service, at most
    /// [`MAX_LOOKUP_ENTRIES`]: the preferred failure domain first, then the home region, then others
    /// by latency. Equal choices are spread by client block.
    pub fn lookup(&self, now: Duration, client: &ClientHome, service: ServiceId) -> Vec<EntryId> {
        let _ = (now, client, service);
        vec![self.entry]
    }

    /// Chooses the owner for the first attempt of a request, or for the one that a
    /// [`RetryDecision::Retry`] allowed, and counts it as in flight.
    pub fn choose(&mut self, now: Duration, attempts: &mut Attempts) -> Result<EntryId, ErrorKind> {
        let _ = (now, attempts);
        Err(ErrorKind::NoEndpoint)
    }

    /// Decides what follows a failed or refused attempt. `kind` is the error that the caller would
    /// get.
    pub fn after_failure(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
        kind: ErrorKind,
    ) -> RetryDecision {
        let _ = (now, attempts, kind);
        RetryDecision::GiveUp
    }

    /// Time after the first attempt at which [`Router::hedge`] should be asked, if the request may
    /// be hedged.
    pub fn hedge_delay(&self, attempts: &Attempts) -> Option<Duration> {
        let _ = attempts;
        None
    }

    /// Starts the hedge of a request whose answer has not started: returns the owner for the second
    /// attempt and counts it as in flight, or `None` if the request must not be hedged.
    pub fn hedge(&mut self, now: Duration, attempts: &mut Attempts) -> Option<EntryId> {
        let _ = (now, attempts);
        None
    }

    /// Records an observation of an owner.
    pub fn observe(
        &mut self,
        now: Duration,
        owner: EntryId,
        service: ServiceId,
        event: OwnerEvent,
    ) {
        let _ = (now, owner, service, event);
    }

    /// Records the result of a probe of an entry, for all services.
    pub fn observe_probe(&mut self, now: Duration, entry: EntryId, round_trip: Option<Duration>) {
        let _ = (now, entry, round_trip);
    }

    /// Jittered `Retry-After` for a refused request: at least 1 s, growing with the recent share of
    /// refusals of the service.
    pub fn retry_after(&mut self, now: Duration, service: ServiceId) -> Duration {
        let _ = (now, service);
        Duration::from_secs(1)
    }
}

use mangospindle_model::{EntryId, ErrorKind, ServiceId};
use mangospindle_quota::{Admission, LinkShaper, Permit, Ticket};
use mangospindle_routing::{ClientTable, RetryBudget, Router};
use mangospindle_state::Config;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Weight of a new sample in the moving average of the times to the first byte.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

/// How long a service counts as overloaded after a rejection for lack of capacity. Several times
/// the queue timeout of the usual profiles.
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// The configuration in force, and the state of routing and admission that follows it.
pub(crate) struct RoutingState {
    pub(crate) entry: EntryId,
    pub(crate) config: Arc<Config>,
    pub(crate) client_table: Arc<ClientTable>,
    pub(crate) router: Router,
    pub(crate) admission: Admission,
    pub(crate) shaper: LinkShaper,
    /// Channels that deliver permits to queued requests.
    pub(crate) waiters: HashMap<Ticket, oneshot::Sender<Result<Permit, ErrorKind>>>,
    /// When the configuration was last known to be current, on the local clock.
    pub(crate) confirmed_at: Option<Duration>,
    /// Budgets for sending reads again on new connections when reused connections do not respond,
    /// by service.
    pub(crate) reconnect_budgets: HashMap<ServiceId, RetryBudget>,
    /// When a request of the service was last rejected for lack of capacity, on the local clock.
    overloaded_at: HashMap<ServiceId, Duration>,
    /// Moving average of the time to the first byte by service, in seconds.
    first_byte_s: HashMap<ServiceId, f64>,
}

impl RoutingState {
    /// Creates the state for the first configuration.
    pub(crate) fn new(entry: EntryId, config: Arc<Config>, now: Duration, seed: u64) -> Self {
        RoutingState {
            entry,
            client_table: Arc::new(ClientTable::build(&config.topology)),
            config,
            router: Router::new(entry, seed),
            admission: Admission::new(entry, now, seed),
            shaper: LinkShaper::new(entry),
            waiters: HashMap::new(),
            confirmed_at: None,
            reconnect_budgets: HashMap::new(),
            overloaded_at: HashMap::new(),
            first_byte_s: HashMap::new(),
        }
    }

    /// Records the time to the first byte of a response.
    pub(crate) fn record_first_byte(&mut self, service: ServiceId, time: Duration) {
        let sample = time.as_secs_f64();
        let mean = self.first_byte_s.entry(service).or_insert(sample);
        *mean += LATENCY_EWMA_WEIGHT * (sample - *mean);
    }

    /// Records an error, so that a lack of capacity marks the service as overloaded.
    pub(crate) fn record_error(&mut self, now: Duration, service: ServiceId, kind: ErrorKind) {
        if matches!(
            kind,
            ErrorKind::NoCapacity | ErrorKind::Shed | ErrorKind::CrossRegionLimit
        ) {
            self.overloaded_at.insert(service, now);
        }
    }

    /// Whether the service recently lacked capacity. A second attempt of a read would then take a
    /// slot from another request.
    pub(crate) fn is_overloaded(&self, now: Duration, service: ServiceId) -> bool {
        let at = self.overloaded_at.get(&service);
        at.is_some_and(|at| now < *at + OVERLOAD_WINDOW)
    }

    /// Moving average of the time to the first byte of a response.
    pub(crate) fn average_first_byte(&self, service: ServiceId) -> Option<Duration> {
        self.first_byte_s
            .get(&service)
            .map(|s| Duration::from_secs_f64(*s))
    }
}

use mangospindle_model::{EntryId, ErrorKind, ServiceId};
use mangospindle_quota::{Admission, LinkShaper, Permit, Ticket};
use mangospindle_routing::{ClientTable, RetryBudget, Router};
use mangospindle_state::Config;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Weight of a new sample in the moving average of first-byte times.
const LATENCY_ALPHA: f64 = 0.1;

/// How long a refusal for lack of capacity counts. Several queue times of the usual profiles.
const PRESSURE_TIME: Duration = Duration::from_secs(1);

/// The parts that decide about requests, and the configuration that they follow.
pub(crate) struct RoutingState {
    pub(crate) entry: EntryId,
    pub(crate) config: Arc<Config>,
    pub(crate) client_table: Arc<ClientTable>,
    pub(crate) router: Router,
    pub(crate) admission: Admission,
    pub(crate) shaper: LinkShaper,
    /// Receivers of the permits of queued requests.
    pub(crate) waiters: HashMap<Ticket, oneshot::Sender<Result<Permit, ErrorKind>>>,
    /// When the configuration was last known to be current, on the local clock.
    pub(crate) confirmed_at: Option<Duration>,
    /// Moves of reads from silent connections to new ones, by service.
    pub(crate) reconnect_budgets: HashMap<ServiceId, RetryBudget>,
    /// When a request of the service was last refused for lack of capacity, on the local clock.
    pressed_at: HashMap<ServiceId, Duration>,
    /// Moving average of first-byte times by service, in seconds.
    first_byte_s: HashMap<ServiceId, f64>,
}

impl RoutingState {
    /// Creates the parts for the first configuration.
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
            pressed_at: HashMap::new(),
            first_byte_s: HashMap::new(),
        }
    }

    /// Records the time to the first byte of an answer.
    pub(crate) fn record_first_byte(&mut self, service: ServiceId, time: Duration) {
        let sample = time.as_secs_f64();
        let mean = self.first_byte_s.entry(service).or_insert(sample);
        *mean += LATENCY_ALPHA * (sample - *mean);
    }

    /// Records the refusal of a request.
    pub(crate) fn record_error(&mut self, now: Duration, service: ServiceId, kind: ErrorKind) {
        if matches!(
            kind,
            ErrorKind::NoCapacity | ErrorKind::Shed | ErrorKind::CrossRegionLimit
        ) {
            self.pressed_at.insert(service, now);
        }
    }

    /// Whether the service lacks capacity, so that a second attempt of a read would take a slot
    /// from another request.
    pub(crate) fn is_overloaded(&self, now: Duration, service: ServiceId) -> bool {
        let at = self.pressed_at.get(&service);
        at.is_some_and(|at| now < *at + PRESSURE_TIME)
    }

    /// Usual time to the first byte of an answer.
    pub(crate) fn average_first_byte(&self, service: ServiceId) -> Option<Duration> {
        self.first_byte_s
            .get(&service)
            .map(|s| Duration::from_secs_f64(*s))
    }
}

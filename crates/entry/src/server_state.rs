use crate::client::{Pool, Target};
use crate::control::Control;
use crate::drain_state::DrainState;
use crate::metrics::Metrics;
use crate::request_error::RequestError;
use crate::request_traces::RequestTraces;
use crate::reservations::Reservations;
use crate::routing_state::RoutingState;
use mangospindle_model::{Clock, EntryId, ErrorKind, ServiceId};
use mangospindle_quota::{Action, Permit, RequestResult};
use mangospindle_settings::EntrySettings;
use mangospindle_state::{Config, EntryStatus};
use mangospindle_telemetry::event;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// An endpoint that is ready to be released, with the epoch of the ownership to release.
pub(crate) type EndpointRelease = (mangospindle_model::EndpointId, u64);

/// What all tasks of an entry process use.
pub(crate) struct ServerState {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Arc<dyn Clock>,
    /// When the process started, on the local clock.
    pub(crate) started_at: Duration,
    /// Random number that names this process.
    pub(crate) incarnation: u64,
    pub(crate) control: Arc<dyn Control>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) metrics: Metrics,
    pub(crate) traces: RequestTraces,
    pub(crate) drain: DrainState,
    pub(crate) reservations: Reservations,
    /// Wakes the task that refuses queued requests in time.
    pub(crate) queue_notify: Notify,
    /// Commands that must not be lost and have no result yet.
    pub(crate) pending_commands: AtomicUsize,
    routing: Mutex<Option<RoutingState>>,
    releases: mpsc::UnboundedSender<EndpointRelease>,
    sequence: AtomicU64,
}

impl ServerState {
    /// Creates the state of a process without a configuration.
    pub(crate) fn new(
        settings: EntrySettings,
        clock: Arc<dyn Clock>,
        control: Arc<dyn Control>,
    ) -> miette::Result<(Arc<Self>, mpsc::UnboundedReceiver<EndpointRelease>)> {
        let (releases, receiver) = mpsc::unbounded_channel();
        let metrics = Metrics::new()?;
        let shared = Arc::new_cyclic(|weak: &Weak<ServerState>| {
            let weak = weak.clone();
            let on_closed = move |target| {
                if let Some(shared) = weak.upgrade() {
                    shared.connection_closed(target);
                }
            };
            ServerState {
                settings,
                started_at: clock.now(),
                clock,
                incarnation: rand::random(),
                control,
                pool: Pool::new(Box::new(on_closed)),
                metrics,
                traces: RequestTraces::new(),
                drain: DrainState::new(),
                reservations: Reservations::new(),
                queue_notify: Notify::new(),
                pending_commands: AtomicUsize::new(0),
                routing: Mutex::new(None),
                releases,
                sequence: AtomicU64::new(0),
            }
        });
        Ok((shared, receiver))
    }

    /// Time on the local clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// A number that is unique in this process.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Locks the deciding parts; `None` inside until the first configuration has arrived.
    pub(crate) fn lock_routing(&self) -> MutexGuard<'_, Option<RoutingState>> {
        // The deciding crates return errors instead of panicking while the lock is held.
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on the deciding parts; an error until the first configuration has arrived.
    pub(crate) fn with_routing<F, R>(&self, f: F) -> Result<R, RequestError>
    where
        F: FnOnce(&mut RoutingState, Duration) -> R,
    {
        let now = self.now();
        match self.lock_routing().as_mut() {
            Some(routing) => Ok(f(routing, now)),
            None => Err(RequestError::new(
                ErrorKind::NoEndpoint,
                "this entry has no configuration yet",
            )),
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Result<Arc<Config>, RequestError> {
        self.with_routing(|d, _| Arc::clone(&d.config))
    }

    /// This entry's key, once the configuration is known.
    pub(crate) fn entry_id(&self) -> Option<EntryId> {
        self.lock_routing().as_ref().map(|d| d.entry)
    }

    /// Whether the agreed state names this process as the entry's present one.
    pub(crate) fn has_joined(&self) -> bool {
        self.lock_routing().as_ref().is_some_and(|d| {
            let status = d.config.entry_status.get(d.entry.index());
            matches!(status, Some(EntryStatus::Active { incarnation }) if *incarnation == self.incarnation)
        })
    }

    /// Applies a configuration; lower versions are ignored.
    pub(crate) fn apply_config(&self, config: &Arc<Config>) {
        let now = self.now();
        let mut guard = self.lock_routing();
        if config.version == 0
            || guard
                .as_ref()
                .is_some_and(|d| d.config.version >= config.version)
        {
            return;
        }
        if guard.is_none() {
            let Some(entry) = config.topology.entry_by_name(&self.settings.name) else {
                event!(Error, "entry_not_in_topology", "entry" => self.settings.name);
                return;
            };
            *guard = Some(RoutingState::new(
                entry,
                Arc::clone(config),
                self.started_at,
                self.incarnation,
            ));
        }
        let Some(routing) = guard.as_mut() else {
            return;
        };
        if routing.config.topology.client_ranges != config.topology.client_ranges
            || routing.config.topology.failure_domains != config.topology.failure_domains
        {
            let table = mangospindle_routing::ClientTable::build(&config.topology);
            routing.client_table = Arc::new(table);
        }
        routing.config = Arc::clone(config);
        routing.router.update_config(now, Arc::clone(config));
        routing.shaper.update_config(now, config);
        let actions = routing.admission.update_config(now, Arc::clone(config));
        drop(guard);
        self.metrics.config_version.set(config.version as i64);
        event!(Info, "config_applied", "version" => config.version);
        self.run_actions(actions);
    }

    /// Records that `version` was known to be current `age` ago.
    pub(crate) fn record_confirmation(&self, version: u64, age: Duration) {
        let actions = self.with_routing(|d, now| {
            let at = now.saturating_sub(age);
            if d.config.version == version && d.confirmed_at.is_none_or(|known| known < at) {
                d.confirmed_at = Some(at);
            }
            d.admission.confirm_config(now, version, age)
        });
        self.run_actions(actions.unwrap_or_default());
    }

    /// Frees the slot of a dispatched request.
    pub(crate) fn release_permit(&self, permit: Permit, result: RequestResult) {
        let actions = self.with_routing(|d, now| d.admission.finish(now, permit, result));
        self.metrics.slots_in_use.dec();
        self.run_actions(actions.unwrap_or_default());
    }

    /// Does what the admission asks for.
    pub(crate) fn run_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, permit } => {
                    self.metrics.slots_in_use.inc();
                    let waiting = self.with_routing(|d, _| d.waiters.remove(&ticket));
                    let unused = match waiting {
                        Ok(Some(sender)) => sender.send(Ok(permit)).err(),
                        Ok(None) | Err(_) => Some(Ok(permit)),
                    };
                    if let Some(Ok(permit)) = unused {
                        self.release_permit(permit, RequestResult::Cancelled);
                    }
                }
                Action::Refuse { ticket, kind } => {
                    if let Ok(Some(sender)) = self.with_routing(|d, _| d.waiters.remove(&ticket)) {
                        // A failed send means that the caller has gone.
                        let _gone = sender.send(Err(kind));
                    }
                }
                Action::Drained {
                    endpoint,
                    drain_time,
                } => {
                    let name = self.endpoint_name(endpoint);
                    self.metrics.drained.inc();
                    self.metrics.drain_seconds.observe(drain_time.as_secs_f64());
                    event!(Info, "endpoint_drained", "endpoint" => name,
                        "drain_ms" => drain_time.as_millis());
                }
                Action::CloseConnections { endpoint } => {
                    self.pool.clear(Target::Endpoint(endpoint));
                }
                Action::ReadyToRelease { endpoint, epoch } => {
                    // The receiver only goes away at the end of the process.
                    let _stopping = self.releases.send((endpoint, epoch));
                }
            }
        }
    }

    /// Adds the `Retry-After` of a service to a refusal.
    pub(crate) fn with_retry_after(
        &self,
        mut refusal: RequestError,
        service: ServiceId,
    ) -> RequestError {
        if refusal.kind.row().retry_after {
            let wait = self.with_routing(|d, now| d.router.retry_after(now, service));
            refusal.retry_after = wait.unwrap_or(refusal.retry_after);
        }
        refusal
    }

    /// Name of an endpoint, for people.
    pub(crate) fn endpoint_name(&self, endpoint: mangospindle_model::EndpointId) -> String {
        let name = self.with_routing(|d, _| {
            let endpoint = d.config.topology.endpoints.get(endpoint.index());
            endpoint.map(|e| e.name.clone())
        });
        name.ok().flatten().unwrap_or_else(|| endpoint.to_string())
    }

    fn connection_closed(&self, target: Target) {
        if let Target::Endpoint(endpoint) = target {
            let actions = self.with_routing(|d, now| d.admission.connection_closed(now, endpoint));
            self.run_actions(actions.unwrap_or_default());
        }
    }
}

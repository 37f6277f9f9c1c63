use crate::client::{Pool, Target};
use crate::control_plane::ControlPlane;
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

/// An endpoint whose ownership can be released, with the epoch of that ownership.
pub(crate) type EndpointRelease = (mangospindle_model::EndpointId, u64);

/// State that all tasks of an entry process share.
pub(crate) struct ServerState {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Arc<dyn Clock>,
    /// Time on the local clock at which the process started.
    pub(crate) started_at: Duration,
    /// Random identifier of this process.
    pub(crate) incarnation: u64,
    pub(crate) control: Arc<dyn ControlPlane>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) metrics: Metrics,
    pub(crate) traces: RequestTraces,
    pub(crate) drain: DrainState,
    pub(crate) reservations: Reservations,
    /// Wakes the task that expires queued requests.
    pub(crate) queue_notify: Notify,
    /// Number of commands that must not be lost and have no result yet.
    pub(crate) pending_commands: AtomicUsize,
    routing: Mutex<Option<RoutingState>>,
    release_tx: mpsc::UnboundedSender<EndpointRelease>,
    sequence: AtomicU64,
}

impl ServerState {
    /// Creates the state of a process that has no configuration yet. The receiver gets the
    /// endpoints to release.
    pub(crate) fn new(
        settings: EntrySettings,
        clock: Arc<dyn Clock>,
        control: Arc<dyn ControlPlane>,
    ) -> miette::Result<(Arc<Self>, mpsc::UnboundedReceiver<EndpointRelease>)> {
        let (release_tx, release_rx) = mpsc::unbounded_channel();
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
                release_tx,
                sequence: AtomicU64::new(0),
            }
        });
        Ok((shared, release_rx))
    }

    /// Time on the local clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns a number that is unique in this process.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Locks the routing state, which is `None` until the first configuration has arrived.
    pub(crate) fn lock_routing(&self) -> MutexGuard<'_, Option<RoutingState>> {
        // The routing and quota crates return errors instead of panicking while the lock is held.
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on the routing state. Fails until the first configuration has arrived.
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

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Result<Arc<Config>, RequestError> {
        self.with_routing(|state, _| Arc::clone(&state.config))
    }

    /// Returns this entry's identifier, or `None` until the first configuration has arrived.
    pub(crate) fn entry_id(&self) -> Option<EntryId> {
        self.lock_routing().as_ref().map(|state| state.entry)
    }

    /// Whether the replicated state names this process as the entry's active one.
    pub(crate) fn has_joined(&self) -> bool {
        self.lock_routing().as_ref().is_some_and(|state| {
            let status = state.config.entry_status.get(state.entry.index());
            matches!(status, Some(EntryStatus::Active { incarnation }) if *incarnation == self.incarnation)
        })
    }

    /// Applies a configuration. Ignores it if its version is not higher than the current one.
    pub(crate) fn apply_config(&self, config: &Arc<Config>) {
        let now = self.now();
        let mut guard = self.lock_routing();
        if config.version == 0
            || guard
                .as_ref()
                .is_some_and(|state| state.config.version >= config.version)
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
        let actions = self.with_routing(|state, now| {
            let at = now.saturating_sub(age);
            if state.config.version == version && state.confirmed_at.is_none_or(|known| known < at)
            {
                state.confirmed_at = Some(at);
            }
            state.admission.confirm_config(now, version, age)
        });
        self.run_actions(actions.unwrap_or_default());
    }

    /// Returns the permit of a dispatched request, which frees its slot.
    pub(crate) fn release_permit(&self, permit: Permit, result: RequestResult) {
        let actions = self.with_routing(|state, now| state.admission.finish(now, permit, result));
        self.metrics.slots_in_use.dec();
        self.run_actions(actions.unwrap_or_default());
    }

    /// Executes actions that the admission control requested.
    pub(crate) fn run_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, permit } => {
                    self.metrics.slots_in_use.inc();
                    let waiter = self.with_routing(|state, _| state.waiters.remove(&ticket));
                    let unused = match waiter {
                        Ok(Some(waiter_tx)) => waiter_tx.send(Ok(permit)).err(),
                        Ok(None) | Err(_) => Some(Ok(permit)),
                    };
                    if let Some(Ok(permit)) = unused {
                        self.release_permit(permit, RequestResult::Cancelled);
                    }
                }
                Action::Refuse { ticket, kind } => {
                    if let Ok(Some(waiter_tx)) =
                        self.with_routing(|state, _| state.waiters.remove(&ticket))
                    {
                        // Sending fails if the caller has disconnected.
                        let _disconnected = waiter_tx.send(Err(kind));
                    }
                }
                Action::Drained {
                    endpoint,
                    drain_time,
                } => {
                    let name = self.endpoint_name(endpoint);
                    self.metrics.endpoints_drained.inc();
                    self.metrics
                        .endpoint_drain_seconds
                        .observe(drain_time.as_secs_f64());
                    event!(Info, "endpoint_drained", "endpoint" => name,
                        "drain_ms" => drain_time.as_millis());
                }
                Action::CloseConnections { endpoint } => {
                    self.pool.clear(Target::Endpoint(endpoint));
                }
                Action::ReadyToRelease { endpoint, epoch } => {
                    // The receiver is dropped only when the process exits.
                    let _stopping = self.release_tx.send((endpoint, epoch));
                }
            }
        }
    }

    /// Sets the `Retry-After` of an error if its kind has one.
    pub(crate) fn with_retry_after(
        &self,
        mut error: RequestError,
        service: ServiceId,
    ) -> RequestError {
        if error.kind.row().retry_after {
            let retry_after_delay =
                self.with_routing(|state, now| state.router.retry_after(now, service));
            error.retry_after = retry_after_delay.unwrap_or(error.retry_after);
        }
        error
    }

    /// Returns the name of an endpoint, or its identifier if the name is unknown.
    pub(crate) fn endpoint_name(&self, endpoint: mangospindle_model::EndpointId) -> String {
        let name = self.with_routing(|state, _| {
            let endpoint = state.config.topology.endpoints.get(endpoint.index());
            endpoint.map(|e| e.name.clone())
        });
        name.ok().flatten().unwrap_or_else(|| endpoint.to_string())
    }

    fn connection_closed(&self, target: Target) {
        if let Target::Endpoint(endpoint) = target {
            let actions =
                self.with_routing(|state, now| state.admission.connection_closed(now, endpoint));
            self.run_actions(actions.unwrap_or_default());
        }
    }
}

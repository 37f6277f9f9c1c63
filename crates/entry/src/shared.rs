use crate::client::{Pool, Target};
use crate::control_plane::ControlPlane;
use crate::decisions::Decisions;
use crate::drain_state::DrainState;
use crate::explain::Explain;
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use crate::reservations::Reservations;
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
pub(crate) type Release = (mangospindle_model::EndpointId, u64);

/// What all tasks of an entry process use.
pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Arc<dyn Clock>,
    /// When the process started, on the local clock.
    pub(crate) started_at: Duration,
    /// Random number that names this process.
    pub(crate) incarnation: u64,
    pub(crate) control: Arc<dyn ControlPlane>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) metrics: Metrics,
    pub(crate) explain: Explain,
    pub(crate) drain: DrainState,
    pub(crate) reservations: Reservations,
    /// Wakes the task that refuses queued requests in time.
    pub(crate) queued: Notify,
    /// Commands that must not be lost and have no result yet.
    pub(crate) pending_commands: AtomicUsize,
    decisions: Mutex<Option<Decisions>>,
    releases: mpsc::UnboundedSender<Release>,
    sequence: AtomicU64,
}

impl Shared {
    /// Creates the state of a process without a configuration.
    pub(crate) fn new(
        settings: EntrySettings,
        clock: Arc<dyn Clock>,
        control: Arc<dyn ControlPlane>,
    ) -> miette::Result<(Arc<Self>, mpsc::UnboundedReceiver<Release>)> {
        let (releases, receiver) = mpsc::unbounded_channel();
        let metrics = Metrics::new()?;
        let shared = Arc::new_cyclic(|weak: &Weak<Shared>| {
            let weak = weak.clone();
            let on_closed = move |target| {
                if let Some(shared) = weak.upgrade() {
                    shared.connection_closed(target);
                }
            };
            Shared {
                settings,
                started_at: clock.now(),
                clock,
                incarnation: rand::random(),
                control,
                pool: Pool::new(Box::new(on_closed)),
                metrics,
                explain: Explain::new(),
                drain: DrainState::new(),
                reservations: Reservations::new(),
                queued: Notify::new(),
                pending_commands: AtomicUsize::new(0),
                decisions: Mutex::new(None),
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
    pub(crate) fn lock(&self) -> MutexGuard<'_, Option<Decisions>> {
        // The deciding crates return errors instead of panicking while the lock is held.
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on the deciding parts; an error until the first configuration has arrived.
    pub(crate) fn decide<F, R>(&self, f: F) -> Result<R, Refusal>
    where
        F: FnOnce(&mut Decisions, Duration) -> R,
    {
        let now = self.now();
        match self.lock().as_mut() {
            Some(decisions) => Ok(f(decisions, now)),
            None => Err(Refusal::new(
                ErrorKind::NoEndpoint,
                "this entry has no configuration yet",
            )),
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Result<Arc<Config>, Refusal> {
        self.decide(|d, _| Arc::clone(&d.config))
    }

    /// This entry's key, once the configuration is known.
    pub(crate) fn entry(&self) -> Option<EntryId> {
        self.lock().as_ref().map(|d| d.entry)
    }

    /// Whether the agreed state names this process as the entry's present one.
    pub(crate) fn has_joined(&self) -> bool {
        self.lock().as_ref().is_some_and(|d| {
            let status = d.config.entry_status.get(d.entry.index());
            matches!(status, Some(EntryStatus::Active { incarnation }) if *incarnation == self.incarnation)
        })
    }

    /// Applies a configuration; lower versions are ignored.
    pub(crate) fn install(&self, config: &Arc<Config>) {
        let now = self.now();
        let mut guard = self.lock();
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
            *guard = Some(Decisions::new(
                entry,
                Arc::clone(config),
                self.started_at,
                self.incarnation,
            ));
        }
        let Some(decisions) = guard.as_mut() else {
            return;
        };
        if decisions.config.topology.client_ranges != config.topology.client_ranges
            || decisions.config.topology.failure_domains != config.topology.failure_domains
        {
            let table = mangospindle_routing::ClientTable::build(&config.topology);
            decisions.table = Arc::new(table);
        }
        decisions.config = Arc::clone(config);
        decisions.router.update_config(now, Arc::clone(config));
        decisions.shaper.update_config(now, config);
        let actions = decisions.admission.update_config(now, Arc::clone(config));
        drop(guard);
        self.metrics.config_version.set(config.version as i64);
        event!(Info, "config_applied", "version" => config.version);
        self.run_actions(actions);
    }

    /// Records that `version` was known to be current `age` ago.
    pub(crate) fn confirm(&self, version: u64, age: Duration) {
        let actions = self.decide(|d, now| {
            let at = now.saturating_sub(age);
            if d.config.version == version && d.confirmed_at.is_none_or(|known| known < at) {
                d.confirmed_at = Some(at);
            }
            d.admission.confirm_config(now, version, age)
        });
        self.run_actions(actions.unwrap_or_default());
    }

    /// Frees the slot of a dispatched request.
    pub(crate) fn finish(&self, permit: Permit, result: RequestResult) {
        let actions = self.decide(|d, now| d.admission.finish(now, permit, result));
        self.metrics.slots_in_use.dec();
        self.run_actions(actions.unwrap_or_default());
    }

    /// Does what the admission asks for.
    pub(crate) fn run_actions(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, permit } => {
                    self.metrics.slots_in_use.inc();
                    let waiting = self.decide(|d, _| d.waiting.remove(&ticket));
                    let unused = match waiting {
                        Ok(Some(sender)) => sender.send(Ok(permit)).err(),
                        Ok(None) | Err(_) => Some(Ok(permit)),
                    };
                    if let Some(Ok(permit)) = unused {
                        self.finish(permit, RequestResult::Cancelled);
                    }
                }
                Action::Refuse { ticket, kind } => {
                    if let Ok(Some(sender)) = self.decide(|d, _| d.waiting.remove(&ticket)) {
                        // A failed send means that the caller has gone.
                        let _gone = sender.send(Err(kind));
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
                    // The receiver only goes away at the end of the process.
                    let _stopping = self.releases.send((endpoint, epoch));
                }
            }
        }
    }

    /// Adds the `Retry-After` of a service to a refusal.
    pub(crate) fn with_retry_after(&self, mut refusal: Refusal, service: ServiceId) -> Refusal {
        if refusal.kind.row().retry_after {
            let wait = self.decide(|d, now| d.router.retry_after(now, service));
            refusal.retry_after = wait.unwrap_or(refusal.retry_after);
        }
        refusal
    }

    /// Name of an endpoint, for people.
    pub(crate) fn endpoint_name(&self, endpoint: mangospindle_model::EndpointId) -> String {
        let name = self.decide(|d, _| {
            let endpoint = d.config.topology.endpoints.get(endpoint.index());
            endpoint.map(|e| e.name.clone())
        });
        name.ok().flatten().unwrap_or_else(|| endpoint.to_string())
    }

    fn connection_closed(&self, target: Target) {
        if let Target::Endpoint(endpoint) = target {
            let actions = self.decide(|d, now| d.admission.connection_closed(now, endpoint));
            self.run_actions(actions.unwrap_or_default());
        }
    }
}

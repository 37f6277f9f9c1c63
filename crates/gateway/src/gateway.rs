use crate::access::Workspaces;
use crate::attempt::AttemptContext;
use crate::connection::serve_connection;
use crate::connection_target::ConnectionTarget;
use crate::metrics::Metrics;
use crate::origin::Origin;
use crate::protocol::Protocol;
use crate::requests_in_progress::RequestsInProgress;
use crate::restart_reports::PendingReports;
use crate::settings::GatewaySettings;
use crate::{
    control_sync, drain, health_checks, idle_connections, path_probes, restart_reports,
    usage_exchange,
};
use mangospindle_client::Pool;
use mangospindle_dispatch::{
    Choice, Dispatcher, EndpointKey, EndpointNotices, HealthCheck, HealthReport, Outcome,
    PathMonitor, Refusal, Request, SendTicket, StopSchedule, WeightedRoundRobin,
};
use mangospindle_fleet::RelayPeers;
use mangospindle_model::{Clock, Route, RouteKey, RouteTable};
use mangospindle_rpc::{ControlClient, ControlClientSettings};
use mangospindle_telemetry::{event, metrics_text};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use prometheus::Registry;
use rand::Rng;
use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Delay after a failed `accept`, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of `Retry-After`, as a fraction of the time that the caller has left. Callers ignore
/// a longer one.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// Phase of serving or of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts requests.
    Serving,
    /// Accepts requests but reports itself as not ready. Closes each connection after a response if
    /// no further request is in flight.
    NotReady,
    /// Refuses new requests and completes those in progress.
    Finishing,
    /// Responds with an error to the requests in progress; the process exits.
    Exiting,
}

/// State shared by all connections of the process.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) pool: Arc<Pool<ConnectionTarget>>,
    pub(crate) metrics: Metrics,
    pub(crate) incarnation: u64,
    pub(crate) in_progress: RequestsInProgress,
    pub(crate) phase: watch::Sender<Phase>,
    /// Set when a graceful stop starts.
    pub(crate) stop_schedule: Cell<Option<StopSchedule>>,
    /// Wakes the task that announces this entry, ahead of its interval.
    pub(crate) announce_now: Notify,
    /// Whether this entry has a path to any endpoint.
    pub(crate) paths: RefCell<PathMonitor>,
    /// Entries to which requests are relayed while there is none.
    pub(crate) peers: RefCell<RelayPeers>,
    /// Until when the peers are kept up to date.
    pub(crate) peers_wanted_until: Cell<Duration>,
    pub(crate) accepts_callers: Cell<bool>,
    /// Wakes the task that sends health checks, ahead of its interval.
    pub(crate) check_health_now: Notify,
    pub(crate) pending_reports: PendingReports,
    pub(crate) workspaces: Workspaces,
    registry: Registry,
    ready: Arc<AtomicBool>,
    dispatcher: RefCell<Dispatcher>,
    target_round_robins: RefCell<HashMap<RouteKey, WeightedRoundRobin>>,
}

impl Gateway {
    /// Binds the public listener and spawns the tasks of the gateway. Must be called on a
    /// `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be bound, if no control replica is configured, or if a metric
    /// cannot be registered.
    pub async fn start<P>(
        settings: GatewaySettings,
        clock: Arc<dyn Clock>,
        protocol: P,
    ) -> Result<Rc<Self>>
    where
        P: Protocol,
    {
        let listener = TcpListener::bind(settings.public_listen)
            .await
            .into_diagnostic()
            .wrap_err("failed to bind the public listener")?;
        let relay_listener = TcpListener::bind(settings.relay_listen)
            .await
            .into_diagnostic()
            .wrap_err("failed to bind the relay listener")?;
        let registry = Registry::new();
        let client = ControlClient::start(ControlClientSettings {
            replicas: settings.control_replicas.clone(),
            clock: Arc::clone(&clock),
            report: None,
        });
        let client = client.ok_or_else(|| miette!("no control replica is configured"))?;
        let dispatcher = Dispatcher::new(settings.dispatch.clone(), rand::random());
        let region = settings.dispatch.region().to_string();
        let incarnation = rand::random();
        let gateway = Rc::new(Gateway {
            workspaces: Workspaces::new(settings.name.clone(), incarnation),
            peers: RefCell::new(RelayPeers::new(settings.name.clone(), region)),
            settings,
            clock,
            protocol: Box::new(protocol),
            pool: Pool::new(Box::new(|_| {})),
            metrics: Metrics::new(&registry).into_diagnostic()?,
            incarnation,
            in_progress: RequestsInProgress::default(),
            phase: watch::Sender::new(Phase::Serving),
            stop_schedule: Cell::new(None),
            announce_now: Notify::new(),
            check_health_now: Notify::new(),
            pending_reports: PendingReports::default(),
            paths: RefCell::default(),
            peers_wanted_until: Cell::default(),
            accepts_callers: Cell::new(true),
            registry,
            ready: Arc::default(),
            dispatcher: RefCell::new(dispatcher),
            target_round_robins: RefCell::default(),
        });
        for (listener, origin) in [(listener, Origin::Caller), (relay_listener, Origin::Entry)] {
            let accepting = accept_connections(Rc::clone(&gateway), listener, origin);
            tokio::task::spawn_local(accepting);
        }
        tokio::task::spawn_local(path_probes::run_path_probes(Rc::clone(&gateway)));
        let checking = idle_connections::check_idle_connections(Rc::clone(&gateway));
        tokio::task::spawn_local(checking);
        tokio::task::spawn_local(health_checks::run_health_checks(Rc::clone(&gateway)));
        tokio::task::spawn_local(control_sync::apply_config_updates(
            Rc::clone(&gateway),
            client.clone(),
        ));
        tokio::task::spawn_local(restart_reports::send_reports(
            Rc::clone(&gateway),
            client.clone(),
        ));
        tokio::task::spawn_local(restart_reports::follow_reports(
            Rc::clone(&gateway),
            client.clone(),
        ));
        tokio::task::spawn_local(usage_exchange::report_usage(
            Rc::clone(&gateway),
            client.clone(),
        ));
        tokio::task::spawn_local(control_sync::run_exchange(Rc::clone(&gateway), client));
        event!(Info, "gateway_started", "name" => gateway.settings.name,
            "public" => gateway.settings.public_listen, "incarnation" => gateway.incarnation);
        Ok(gateway)
    }

    /// Flag that is set while the gateway accepts new callers; readable from any thread.
    pub fn readiness(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ready)
    }

    /// The registry that holds the metrics.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// The metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        metrics_text(&self.registry).unwrap_or_default()
    }

    /// Stops gracefully. Requests in progress may complete until shortly before the end of
    /// [`GatewaySettings::stop_grace_period`].
    pub async fn drain(&self) {
        drain::drain(self).await;
    }

    /// Current time on the local monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Longest expected latency that a stop allows for a request with this deadline; `None` if the
    /// gateway is not stopping.
    pub(crate) fn stop_limit(&self, deadline: Duration) -> Option<Duration> {
        let schedule = self.stop_schedule.get()?;
        Some(schedule.latency_limit(self.now(), deadline))
    }

    /// Completes when the process is about to exit.
    pub(crate) async fn exiting(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway, so this does not fail.
        let _ = phase.wait_for(|p| *p == Phase::Exiting).await;
    }

    /// The current route table.
    pub(crate) fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(self.dispatcher.borrow().routes())
    }

    /// The state of the endpoints, for reading.
    pub(crate) fn dispatcher(&self) -> Ref<'_, Dispatcher> {
        self.dispatcher.borrow()
    }

    /// Runs `f` on the dispatcher, then updates the metrics and the readiness.
    pub(crate) fn with_dispatcher<F, R>(&self, f: F) -> R
    where
        F: FnOnce(&mut Dispatcher, Duration) -> R,
    {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let result = f(&mut dispatcher, now);
        self.metrics.update_gauges(&dispatcher, now);
        drop(dispatcher);
        self.update_readiness();
        result
    }

    /// Chooses the endpoint for a request.
    pub(crate) fn choose_endpoint(
        &self,
        request: &Request<'_>,
    ) -> std::result::Result<Choice, Refusal> {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let choice = dispatcher.choose(now, request);
        if dispatcher.wants_health_checks() {
            self.check_health_now.notify_one();
        }
        choice
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&self, ticket: SendTicket, outcome: Outcome) {
        let now = self.now();
        // Each further failed attempt to connect would report an endpoint that is down once more.
        let is_repeated =
            outcome == Outcome::Unreachable && self.dispatcher().is_unreachable(ticket.endpoint);
        if outcome.is_sign_of_restart() && !is_repeated {
            self.report_restart(ticket.endpoint, &format!("{outcome:?}"));
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_outcome(now, ticket, outcome);
    }

    /// Records that an endpoint closed an idle connection early.
    pub(crate) fn record_idle_close(&self, endpoint: EndpointKey) {
        let now = self.now();
        self.report_restart(endpoint, "IdleClose");
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_idle_close(now, endpoint);
    }

    /// Records what an endpoint said in a response.
    pub(crate) fn record_notices(&self, choice: &Choice, notices: EndpointNotices) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.record_notices(now, choice.ticket.endpoint, notices) {
            event!(Info, "endpoint_notices_changed", "endpoint" => choice.instance,
                "rate_limit" => notices.rate_limit.map_or(String::new(), |r| r.to_string()));
        }
    }

    /// Records what an endpoint said in a response to a health check.
    pub(crate) fn record_check_notices(&self, endpoint: EndpointKey, notices: EndpointNotices) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_check_notices(now, endpoint, notices);
    }

    /// The health checks to send now.
    pub(crate) fn take_health_checks(&self) -> Vec<HealthCheck> {
        let now = self.now();
        self.dispatcher.borrow_mut().take_health_checks(now)
    }

    /// Records the result of a health check.
    pub(crate) fn record_health_check(&self, endpoint: EndpointKey, report: HealthReport) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_health_check(now, endpoint, report);
    }

    /// Records how long an endpoint stays cold according to a check on a connection to it. Returns whether
    /// it may get requests without the cold rate limit.
    pub(crate) fn record_connection_check(
        &self,
        endpoint: EndpointKey,
        began_at: Duration,
        cold_for: Option<Duration>,
    ) -> bool {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_connection_check(now, endpoint, began_at, cold_for)
    }

    /// Whether a request may be sent on a connection of unknown state before it is checked, and counts it.
    pub(crate) fn allow_unchecked_send(&self, endpoint: EndpointKey) -> bool {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.allow_unchecked_send(now, endpoint)
    }

    /// Records a response of a process that is past its cold start to what was sent at `sent_at`.
    pub(crate) fn record_warm_response(&self, sent_at: Duration, endpoint: EndpointKey) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_warm_response(sent_at, endpoint);
    }

    /// Index of the target for the next request of a route, according to the target weights.
    /// `None` if the route has no target.
    pub(crate) fn next_target(&self, key: &RouteKey, route: &Route) -> Option<usize> {
        if let [_] = route.targets[..] {
            return Some(0);
        }
        let mut round_robins = self.target_round_robins.borrow_mut();
        round_robins
            .entry(key.clone())
            .or_default()
            .next(&route.targets)
    }

    /// A random `Retry-After` for a caller that has `time_left` until its deadline.
    pub(crate) fn retry_after(&self, time_left: Duration) -> Duration {
        let fraction =
            rand::rng().random_range(MAX_RETRY_AFTER_FRACTION / 3.0..MAX_RETRY_AFTER_FRACTION);
        time_left.mul_f64(fraction)
    }

    /// Time until the response to a request has to be complete.
    pub(crate) fn time_left(&self, context: &AttemptContext<'_>) -> Duration {
        context.deadline.saturating_sub(self.now())
    }

    /// Whether new callers should be directed to this entry. A ready entry without a path to any
    /// endpoint serves its callers through other entries, which is slower for them.
    pub(crate) fn is_accepting(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.accepts_callers.get()
    }

    /// Recomputes the readiness and announces a change at once. The gateway is ready if it has
    /// routes and is not stopping.
    pub(crate) fn update_readiness(&self) {
        let serving = *self.phase.borrow() == Phase::Serving;
        let ready = serving && self.dispatcher.borrow().routes().is_set();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            event!(Info, "readiness_changed", "ready" => ready);
            self.announce_now.notify_one();
        }
    }
}

/// Accepts connections until the gateway refuses new requests, and those that wait at that time.
async fn accept_connections(gateway: Rc<Gateway>, listener: TcpListener, origin: Origin) {
    let mut phase = gateway.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // An error means that the sender was dropped, which happens when the process exits.
            _ = phase.wait_for(|p| *p >= Phase::Finishing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&gateway), stream, origin));
            }
            Err(e) => {
                event!(Warn, "accept_failed", "reason" => e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(e) = accept_waiting(&gateway, listener, origin) {
        event!(Warn, "accept_failed", "reason" => e);
    }
}

/// Accepts the connections that wait to be accepted, then closes the listener. Closing it resets them
/// without a response, although their callers may have sent a request.
fn accept_waiting(gateway: &Rc<Gateway>, listener: TcpListener, origin: Origin) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                let stream = TcpStream::from_std(stream)?;
                tokio::task::spawn_local(serve_connection(Rc::clone(gateway), stream, origin));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
    }
}

use crate::connection::serve_connection;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::settings::GatewaySettings;
use crate::{drain, follow};
use mangospindle_client::Pool;
use mangospindle_dispatch::{
    Choice, Dispatcher, EndpointKey, Outcome, Refusal, Request, SendTicket, TargetShare,
};
use mangospindle_model::{Clock, Route, RouteKey, RouteTable};
use mangospindle_rpc::{ControlClient, ControlClientSettings};
use mangospindle_telemetry::{event, metrics_text};
use miette::{IntoDiagnostic, Result, WrapErr, miette};
use prometheus::Registry;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// Pause after a failed `accept`, which happens when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest part of the remaining time after which callers honour a `Retry-After`.
const RETRY_AFTER_PART: f64 = 0.3;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serves.
    Serving,
    /// Serves, and asks callers to go elsewhere.
    Leaving,
    /// Refuses new requests and finishes those in progress.
    Finishing,
}

/// The process state that all connections share.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) protocol: Box<dyn Protocol>,
    pub(crate) pool: Arc<Pool<EndpointKey>>,
    pub(crate) metrics: Metrics,
    pub(crate) incarnation: u64,
    /// Requests in progress.
    pub(crate) in_progress: Cell<usize>,
    pub(crate) phase: watch::Sender<Phase>,
    /// Wakes the task that announces this entry.
    pub(crate) announce: Notify,
    registry: Registry,
    ready: Arc<AtomicBool>,
    dispatcher: RefCell<Dispatcher>,
    target_shares: RefCell<HashMap<RouteKey, TargetShare>>,
}

impl Gateway {
    /// Starts all tasks. Must be called on a `LocalSet`.
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
            .wrap_err("cannot open the listener for callers")?;
        let registry = Registry::new();
        let client = ControlClient::start(ControlClientSettings {
            replicas: settings.control_replicas.clone(),
            clock: Arc::clone(&clock),
            report: None,
        });
        let client = client.ok_or_else(|| miette!("no control replica is listed"))?;
        let dispatcher = Dispatcher::new(settings.dispatch.clone(), rand::random());
        let gateway = Rc::new(Gateway {
            settings,
            clock,
            protocol: Box::new(protocol),
            pool: Pool::new(Box::new(|_| {})),
            metrics: Metrics::new(&registry).into_diagnostic()?,
            incarnation: rand::random(),
            in_progress: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            announce: Notify::new(),
            registry,
            ready: Arc::default(),
            dispatcher: RefCell::new(dispatcher),
            target_shares: RefCell::default(),
        });
        tokio::task::spawn_local(accept(Rc::clone(&gateway), listener));
        tokio::task::spawn_local(follow::follow_routes(Rc::clone(&gateway), client.clone()));
        tokio::task::spawn_local(follow::exchange_views(Rc::clone(&gateway), client));
        event!(Info, "gateway_started", "name" => gateway.settings.name,
            "public" => gateway.settings.public_listen, "incarnation" => gateway.incarnation);
        Ok(gateway)
    }

    /// Whether new callers may be sent here; readable on any thread.
    pub fn readiness(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ready)
    }

    /// Registry of the metrics.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// The metrics as text.
    pub fn metrics_text(&self) -> String {
        metrics_text(&self.registry).unwrap_or_default()
    }

    /// Stops gracefully: no request in progress is interrupted before its end.
    pub async fn drain(&self) {
        drain::drain(self).await;
    }

    /// Time on the local clock.
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The routes in force.
    pub(crate) fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(self.dispatcher.borrow().routes())
    }

    /// Runs `f` on the dispatcher.
    pub(crate) fn dispatch<F, R>(&self, f: F) -> R
    where
        F: FnOnce(&mut Dispatcher, Duration) -> R,
    {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let result = f(&mut dispatcher, now);
        self.metrics.observe(&dispatcher, now);
        drop(dispatcher);
        self.update_readiness();
        result
    }

    /// Chooses the endpoint of a request.
    pub(crate) fn choose(&self, request: &Request<'_>) -> std::result::Result<Choice, Refusal> {
        let now = self.now();
        self.dispatcher.borrow_mut().choose(now, request)
    }

    /// Records the outcome of a send.
    pub(crate) fn finished(&self, ticket: SendTicket, outcome: Outcome) {
        let now = self.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.finished(now, ticket, outcome);
    }

    /// Position of the target of a route's next request.
    pub(crate) fn next_target(&self, key: &RouteKey, route: &Route) -> Option<usize> {
        if let [_] = route.targets[..] {
            return Some(0);
        }
        let mut shares = self.target_shares.borrow_mut();
        shares.entry(key.clone()).or_default().next(&route.targets)
    }

    /// A random `Retry-After` for a caller that has this much time left.
    pub(crate) fn retry_after(&self, time_left: Duration) -> Duration {
        let part = rand::rng().random_range(RETRY_AFTER_PART / 3.0..RETRY_AFTER_PART);
        time_left.mul_f64(part)
    }

    /// Whether new callers may be sent here.
    pub(crate) fn is_accepting(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    pub(crate) fn update_readiness(&self) {
        let serving = *self.phase.borrow() == Phase::Serving;
        let ready = serving && self.dispatcher.borrow().routes().number > 0;
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            event!(Info, "readiness_changed", "ready" => ready);
            self.announce.notify_one();
        }
    }
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let mut phase = gateway.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The end of the sender is the end of the process.
            _ = phase.wait_for(|p| *p == Phase::Finishing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&gateway), stream));
            }
            Err(e) => {
                event!(Warn, "accept_failed", "reason" => e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

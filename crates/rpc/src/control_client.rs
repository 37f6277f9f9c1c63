use crate::backoff::Backoff;
use crate::connection::Connection;
use crate::watch_loop::watch_loop;
use crate::{
    ControlView, EntryReport, MAX_COMMAND_BYTES, ProposeResult, QueryResult, RpcError,
    TrafficCounters,
};
use mangospindle_model::Clock;
use mangospindle_state::{ClaimKey, Command};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Shortest and longest pause before a proposal that was not accepted is proposed again.
const PROPOSE_RETRY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// Settings of a [`ControlClient`].
#[derive(Clone)]
pub struct ControlClientSettings {
    /// Addresses of the control replicas, nearest first. At least one.
    pub replicas: Vec<SocketAddr>,
    /// The monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Sent with each watch, if the caller is an entry.
    pub report: Option<EntryReport>,
}

/// Follows the replicated state through one control replica at a time.
///
/// Must be used on a `LocalSet`. Dropping the last clone ends the connection.
#[derive(Clone)]
pub struct ControlClient {
    inner: Rc<Inner>,
    _task: Rc<AbortOnDrop>,
}

pub(crate) struct Inner {
    pub(crate) replicas: RefCell<Vec<SocketAddr>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) counters: TrafficCounters,
    pub(crate) report: RefCell<Option<EntryReport>>,
    pub(crate) view: watch::Sender<ControlView>,
    pub(crate) connection: watch::Sender<Option<Rc<Connection>>>,
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ControlClient {
    /// Starts to connect and to watch. Returns `None` if no replica is given.
    pub fn start(settings: ControlClientSettings) -> Option<Self> {
        if settings.replicas.is_empty() {
            return None;
        }
        let inner = Rc::new(Inner {
            replicas: RefCell::new(settings.replicas),
            clock: settings.clock,
            counters: TrafficCounters::default(),
            report: RefCell::new(settings.report),
            view: watch::Sender::new(ControlView::default()),
            connection: watch::Sender::new(None),
        });
        let task = tokio::task::spawn_local(watch_loop(Rc::clone(&inner)));
        Some(ControlClient {
            inner,
            _task: Rc::new(AbortOnDrop(task)),
        })
    }

    /// The latest view.
    pub fn view(&self) -> ControlView {
        self.inner.view.borrow().clone()
    }

    /// Receives each view; a slow receiver skips to the latest.
    pub fn subscribe(&self) -> watch::Receiver<ControlView> {
        self.inner.view.subscribe()
    }

    /// Changes what is sent with each watch from now on.
    pub fn set_report(&self, report: EntryReport) {
        *self.inner.report.borrow_mut() = Some(report);
    }

    /// Replaces the addresses of the replicas, nearest first. An empty list changes nothing.
    pub fn set_replicas(&self, replicas: Vec<SocketAddr>) {
        if !replicas.is_empty() {
            *self.inner.replicas.borrow_mut() = replicas;
        }
    }

    /// Exchanges views of the fleet with the replica in use. `None` without an answer in time.
    pub async fn exchange(&self, request: &[u8]) -> Option<Vec<u8>> {
        let connection = self.inner.connection.borrow().clone();
        let connection = connection.filter(|c| !c.is_closed())?;
        connection.exchange(request).await.ok()
    }

    /// Bytes sent and received.
    pub fn counters(&self) -> &TrafficCounters {
        &self.inner.counters
    }

    /// Proposes a command, again and again while it is in no log, until the time is over.
    ///
    /// After [`ProposeResult::Unknown`] the same command may be proposed again: the state machine
    /// recognizes its request identifier or attempt.
    pub async fn propose(&self, command: &Command, time: Duration) -> ProposeResult {
        let encoded = match postcard::to_stdvec(command) {
            Ok(encoded) if encoded.len() <= MAX_COMMAND_BYTES => encoded,
            Ok(_) | Err(_) => return ProposeResult::NotAccepted,
        };
        let deadline = self.inner.clock.now() + time;
        let mut backoff = Backoff::new(PROPOSE_RETRY.0, PROPOSE_RETRY.1);
        loop {
            let result = match self.connection(deadline).await {
                Some(connection) => self.propose_once(&connection, &encoded, deadline).await,
                None => return ProposeResult::NotAccepted,
            };
            let pause = backoff.next();
            if result != ProposeResult::NotAccepted || pause >= self.remaining(deadline) {
                return result;
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Asks for the state of an at-most-once action.
    pub async fn query_claim(&self, key: &ClaimKey, time: Duration) -> QueryResult {
        let deadline = self.inner.clock.now() + time;
        let Some(connection) = self.connection(deadline).await else {
            return QueryResult::Unconfirmed;
        };
        let mut request = connection.client().query_claim_request();
        request.get().set_service(key.service.0);
        request.get().set_key(key.key.as_str());
        let call = connection.call(request.send().promise);
        match tokio::time::timeout(self.remaining(deadline), call).await {
            Ok(Ok(response)) => (response.get().and_then(|r| r.get_reply()))
                .map_err(RpcError::from)
                .and_then(QueryResult::try_from)
                .unwrap_or(QueryResult::Unconfirmed),
            Ok(Err(_)) | Err(_) => QueryResult::Unconfirmed,
        }
    }

    async fn propose_once(
        &self,
        connection: &Connection,
        encoded: &[u8],
        deadline: Duration,
    ) -> ProposeResult {
        let mut request = connection.client().propose_request();
        request.get().set_command(encoded);
        let call = connection.call(request.send().promise);
        match tokio::time::timeout(self.remaining(deadline), call).await {
            Ok(Ok(response)) => (response.get().and_then(|r| r.get_reply()))
                .map_err(RpcError::from)
                .and_then(ProposeResult::try_from)
                .unwrap_or(ProposeResult::Unknown),
            Ok(Err(_)) | Err(_) => ProposeResult::Unknown,
        }
    }

    /// Waits for a connection to a replica that is not cut off.
    async fn connection(&self, deadline: Duration) -> Option<Rc<Connection>> {
        let mut receiver = self.inner.connection.subscribe();
        let open = receiver.wait_for(|c| c.as_ref().is_some_and(|c| !c.is_closed()));
        match tokio::time::timeout(self.remaining(deadline), open).await {
            Ok(Ok(connection)) => connection.clone(),
            Ok(Err(_)) | Err(_) => None,
        }
    }

    fn remaining(&self, deadline: Duration) -> Duration {
        deadline.saturating_sub(self.inner.clock.now())
    }
}

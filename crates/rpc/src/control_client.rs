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

/// Initial and maximum delay before a proposal that was not accepted is sent again.
const PROPOSE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(100));

/// Minimum time left for a further attempt at a proposal that was not accepted. An attempt that is not
/// answered in time would turn a result that is known into an unknown one. Allows four round trips
/// between regions and some load.
const MIN_PROPOSE_TIME: Duration = Duration::from_millis(200);

/// Settings of a [`ControlClient`].
#[derive(Clone)]
pub struct ControlClientSettings {
    /// Addresses of the control replicas, nearest first. Must not be empty.
    pub replicas: Vec<SocketAddr>,
    /// Monotonic clock for timeouts and ages.
    pub clock: Arc<dyn Clock>,
    /// Report that is sent with each watch request, if the caller is an entry.
    pub report: Option<EntryReport>,
}

/// Client of the control replicas that watches the replicated state through one replica at a time.
///
/// Must be used on a `LocalSet`. The connection is closed when the last clone is dropped.
#[derive(Clone)]
pub struct ControlClient {
    inner: Rc<ClientInner>,
    _task: Rc<AbortOnDrop>,
}

pub(crate) struct ClientInner {
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
    /// Starts to connect and to watch. Returns `None` if `settings.replicas` is empty.
    pub fn start(settings: ControlClientSettings) -> Option<Self> {
        if settings.replicas.is_empty() {
            return None;
        }
        let inner = Rc::new(ClientInner {
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

    /// Subscribes to changes of the view. A slow receiver sees only the latest view.
    pub fn subscribe(&self) -> watch::Receiver<ControlView> {
        self.inner.view.subscribe()
    }

    /// Replaces the report that is sent with each further watch request.
    pub fn set_report(&self, report: EntryReport) {
        *self.inner.report.borrow_mut() = Some(report);
    }

    /// Replaces the addresses of the replicas, nearest first. An empty list is ignored.
    pub fn set_replicas(&self, replicas: Vec<SocketAddr>) {
        if !replicas.is_empty() {
            *self.inner.replicas.borrow_mut() = replicas;
        }
    }

    /// Exchanges encoded views of the fleet with the current replica. Returns `None` if there is no
    /// open connection or no response in time.
    pub async fn exchange(&self, request: &[u8]) -> Option<Vec<u8>> {
        let connection = self.inner.connection.borrow().clone();
        let connection = connection.filter(|c| !c.is_closed())?;
        connection.exchange(request).await.ok()
    }

    /// Bytes sent and received over all connections of this client.
    pub fn counters(&self) -> &TrafficCounters {
        &self.inner.counters
    }

    /// Proposes a command. Retries until `time_limit` has passed while the command is certain to be
    /// in no log.
    ///
    /// After [`ProposeResult::Unknown`] the same command may be proposed again, because the state
    /// machine detects duplicates by their request identifier or attempt.
    pub async fn propose(&self, command: &Command, time_limit: Duration) -> ProposeResult {
        let encoded = match postcard::to_stdvec(command) {
            Ok(encoded) if encoded.len() <= MAX_COMMAND_BYTES => encoded,
            Ok(_) | Err(_) => return ProposeResult::NotAccepted,
        };
        let deadline = self.inner.clock.now() + time_limit;
        let mut backoff = Backoff::new(PROPOSE_BACKOFF.0, PROPOSE_BACKOFF.1);
        loop {
            let result = match self.wait_for_connection(deadline).await {
                Some(connection) => self.propose_once(&connection, &encoded, deadline).await,
                None => return ProposeResult::NotAccepted,
            };
            let delay = backoff.next_delay();
            let next_has_time = delay + MIN_PROPOSE_TIME < self.remaining(deadline);
            if result != ProposeResult::NotAccepted || !next_has_time {
                return result;
            }
            tokio::time::sleep(delay).await;
        }
    }

    /// Queries the state of an at-most-once action.
    pub async fn query_claim(&self, key: &ClaimKey, time_limit: Duration) -> QueryResult {
        let deadline = self.inner.clock.now() + time_limit;
        let Some(connection) = self.wait_for_connection(deadline).await else {
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

    /// Waits for an open connection to a replica that is not cut off. Returns `None` at the
    /// deadline.
    async fn wait_for_connection(&self, deadline: Duration) -> Option<Rc<Connection>> {
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

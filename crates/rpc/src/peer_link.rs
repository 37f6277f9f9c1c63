use crate::backoff::Backoff;
use crate::connection::{Connection, LivenessTimeouts};
use crate::limits::{
    FORWARD_TIMEOUT, MAX_PEER_CALLS_IN_FLIGHT, PEER_KEEPALIVE_INTERVAL, PEER_SILENCE_TIMEOUT,
};
use crate::peer_queue::PeerQueue;
use crate::wire_message::WireMessage;
use crate::{ProposeResult, RpcError, TrafficCounters};
use mangospindle_consensus::Message;
use mangospindle_model::Clock;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Initial and maximum delay between attempts to connect. The maximum is below the election
/// timeout, so that a restarted replica is reached before it starts an election.
const RECONNECT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(200));

/// A replica's connection to another replica. It is reopened whenever it fails or its silence
/// timeout expires.
pub struct PeerLink {
    inner: Rc<LinkInner>,
    task: JoinHandle<()>,
}

struct LinkInner {
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    counters: TrafficCounters,
    queue: RefCell<PeerQueue>,
    calls_in_flight: Cell<usize>,
    send_ready: Notify,
    connection: RefCell<Option<Rc<Connection>>>,
}

impl PeerLink {
    /// Starts to connect to the replica at `address`. Must be called on a `LocalSet`.
    pub fn start(address: SocketAddr, clock: Arc<dyn Clock>, counters: TrafficCounters) -> Self {
        let inner = Rc::new(LinkInner {
            address,
            clock,
            counters,
            queue: RefCell::default(),
            calls_in_flight: Cell::new(0),
            send_ready: Notify::new(),
            connection: RefCell::new(None),
        });
        let task = tokio::task::spawn_local(Rc::clone(&inner).run());
        PeerLink { inner, task }
    }

    /// Queues a message. Delivery is not guaranteed.
    pub fn send(&self, message: Message) {
        if self.inner.queue.borrow_mut().push(message) {
            self.inner.send_ready.notify_one();
        }
    }

    /// Exchanges encoded views of the fleet with the replica. Returns `None` if there is no open
    /// connection or no response in time.
    pub fn exchange(&self, request: &[u8]) -> impl Future<Output = Option<Vec<u8>>> + use<> {
        let connection = self.inner.connection.borrow().clone();
        let call = (connection.filter(|c| !c.is_closed())).map(|c| c.exchange(request));
        async move { call?.await.ok() }
    }

    /// Forwards a proposal to the replica, with the log index that it is [based
    /// on](crate::Proposal::based_on). Returns [`ProposeResult::NotAccepted`] if there is no
    /// open connection.
    pub fn propose(
        &self,
        command: &[u8],
        based_on: Option<u64>,
    ) -> impl Future<Output = ProposeResult> + use<> {
        let connection = self.inner.connection.borrow().clone();
        let call = connection.filter(|c| !c.is_closed()).map(|connection| {
            let mut request = connection.client().propose_request();
            request.get().set_command(command);
            request.get().set_forwarded(true);
            request.get().set_based_on(based_on.unwrap_or(0));
            connection.call(request.send().promise)
        });
        async move {
            match call {
                None => ProposeResult::NotAccepted,
                Some(call) => match tokio::time::timeout(FORWARD_TIMEOUT, call).await {
                    Ok(Ok(response)) => (response.get().and_then(|r| r.get_reply()))
                        .map_err(RpcError::from)
                        .and_then(ProposeResult::try_from)
                        .unwrap_or(ProposeResult::Unknown),
                    Ok(Err(_)) | Err(_) => ProposeResult::Unknown,
                },
            }
        }
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LinkInner {
    async fn run(self: Rc<Self>) {
        let liveness = LivenessTimeouts {
            silence_timeout: PEER_SILENCE_TIMEOUT,
            keepalive_interval: PEER_KEEPALIVE_INTERVAL,
        };
        let mut backoff = Backoff::new(RECONNECT_BACKOFF.0, RECONNECT_BACKOFF.1);
        loop {
            let clock = Arc::clone(&self.clock);
            match Connection::open(self.address, clock, self.counters.clone(), liveness).await {
                Ok(connection) => {
                    let connection = Rc::new(connection);
                    *self.connection.borrow_mut() = Some(Rc::clone(&connection));
                    if self.send_queued(&connection).await {
                        backoff.reset();
                    }
                    *self.connection.borrow_mut() = None;
                }
                Err(e) => log::debug!("cannot connect to the replica at {}: {e}", self.address),
            }
            self.queue.borrow_mut().clear();
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Sends queued messages until the connection is closed. Returns whether any call succeeded.
    async fn send_queued(self: &Rc<Self>, connection: &Rc<Connection>) -> bool {
        self.calls_in_flight.set(0);
        let answered = Rc::new(Cell::new(false));
        loop {
            while self.calls_in_flight.get() < MAX_PEER_CALLS_IN_FLIGHT {
                let batch = self.queue.borrow_mut().next_batch();
                if batch.is_empty() {
                    break;
                }
                self.send_batch(connection, &batch, &answered);
            }
            tokio::select! {
                () = self.send_ready.notified() => {}
                () = connection.closed() => return answered.get(),
            }
        }
    }

    fn send_batch(
        self: &Rc<Self>,
        connection: &Rc<Connection>,
        batch: &[WireMessage],
        answered: &Rc<Cell<bool>>,
    ) {
        let mut request = connection.client().deliver_request();
        let mut list = request.get().init_messages(batch.len() as u32);
        for (i, message) in batch.iter().enumerate() {
            if let Err(e) = message.write(list.reborrow().get(i as u32)) {
                log::error!("cannot encode a message for another replica: {e}");
                return;
            }
        }
        let sent = connection.call(request.send().promise);
        let (inner, answered) = (Rc::clone(self), Rc::clone(answered));
        inner.calls_in_flight.set(inner.calls_in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            match sent.await {
                Ok(_) => answered.set(true),
                Err(e) => log::debug!(
                    "cannot deliver messages to the replica at {}: {e}",
                    inner.address
                ),
            }
            inner
                .calls_in_flight
                .set(inner.calls_in_flight.get().saturating_sub(1));
            inner.send_ready.notify_one();
        });
    }
}

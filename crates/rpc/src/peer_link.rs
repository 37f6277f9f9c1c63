use crate::backoff::Backoff;
use crate::connection::{Connection, Liveness};
use crate::limits::{FORWARD_TIMEOUT, PEER_IDLE_PING, PEER_SILENCE, PEER_WINDOW_CALLS};
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

/// Shortest and longest pause between attempts to connect. The longest is below the election
/// timeout, so that a replica that returns is reached before it asks for an election.
const RECONNECT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(200));

/// A replica's connection to another replica, opened again whenever it fails or goes silent.
pub struct PeerLink {
    shared: Rc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    address: SocketAddr,
    clock: Arc<dyn Clock>,
    counters: TrafficCounters,
    queue: RefCell<PeerQueue>,
    in_flight: Cell<usize>,
    wake: Notify,
    connection: RefCell<Option<Rc<Connection>>>,
}

impl PeerLink {
    /// Starts to connect, on the local task set.
    pub fn start(address: SocketAddr, clock: Arc<dyn Clock>, counters: TrafficCounters) -> Self {
        let shared = Rc::new(Shared {
            address,
            clock,
            counters,
            queue: RefCell::default(),
            in_flight: Cell::new(0),
            wake: Notify::new(),
            connection: RefCell::new(None),
        });
        let task = tokio::task::spawn_local(Rc::clone(&shared).run());
        PeerLink { shared, task }
    }

    /// Queues a message. It may be lost, as on any network.
    pub fn send(&self, message: Message) {
        if self.shared.queue.borrow_mut().push(message) {
            self.shared.wake.notify_one();
        }
    }

    /// Exchanges views of the fleet with the replica. `None` without an answer in time.
    pub fn exchange(&self, request: &[u8]) -> impl Future<Output = Option<Vec<u8>>> + use<> {
        let connection = self.shared.connection.borrow().clone();
        let call = (connection.filter(|c| !c.is_closed())).map(|c| c.exchange(request));
        async move { call?.await.ok() }
    }

    /// Forwards a proposal to the replica.
    pub fn propose(&self, command: &[u8]) -> impl Future<Output = ProposeResult> + use<> {
        let connection = self.shared.connection.borrow().clone();
        let call = connection.filter(|c| !c.is_closed()).map(|connection| {
            let mut request = connection.client().propose_request();
            request.get().set_command(command);
            request.get().set_forwarded(true);
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

impl Shared {
    async fn run(self: Rc<Self>) {
        let liveness = Liveness {
            silence: PEER_SILENCE,
            idle_ping: PEER_IDLE_PING,
        };
        let mut backoff = Backoff::new(RECONNECT.0, RECONNECT.1);
        loop {
            let clock = Arc::clone(&self.clock);
            match Connection::open(self.address, clock, self.counters.clone(), liveness).await {
                Ok(connection) => {
                    let connection = Rc::new(connection);
                    *self.connection.borrow_mut() = Some(Rc::clone(&connection));
                    if self.pump(&connection).await {
                        backoff.reset();
                    }
                    *self.connection.borrow_mut() = None;
                }
                Err(e) => log::debug!("cannot connect to replica at {}: {e}", self.address),
            }
            self.queue.borrow_mut().clear();
            tokio::time::sleep(backoff.next()).await;
        }
    }

    /// Sends queued messages until the connection ends. Returns whether any call was answered.
    async fn pump(self: &Rc<Self>, connection: &Rc<Connection>) -> bool {
        self.in_flight.set(0);
        let answered = Rc::new(Cell::new(false));
        loop {
            while self.in_flight.get() < PEER_WINDOW_CALLS {
                let call = self.queue.borrow_mut().next_call();
                if call.is_empty() {
                    break;
                }
                self.send_call(connection, &call, &answered);
            }
            tokio::select! {
                () = self.wake.notified() => {}
                () = connection.closed() => return answered.get(),
            }
        }
    }

    fn send_call(
        self: &Rc<Self>,
        connection: &Rc<Connection>,
        call: &[WireMessage],
        answered: &Rc<Cell<bool>>,
    ) {
        let mut request = connection.client().deliver_request();
        let mut list = request.get().init_messages(call.len() as u32);
        for (i, message) in call.iter().enumerate() {
            if let Err(e) = message.write(list.reborrow().get(i as u32)) {
                log::error!("cannot encode a message between replicas: {e}");
                return;
            }
        }
        let sent = connection.call(request.send().promise);
        let (shared, answered) = (Rc::clone(self), Rc::clone(answered));
        shared.in_flight.set(shared.in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            match sent.await {
                Ok(_) => answered.set(true),
                Err(e) => log::debug!("messages to {} failed: {e}", shared.address),
            }
            shared
                .in_flight
                .set(shared.in_flight.get().saturating_sub(1));
            shared.wake.notify_one();
        });
    }
}

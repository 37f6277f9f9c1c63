use crate::control_capnp::control;
use crate::limits::{CONNECT_TIMEOUT, EXCHANGE_TIMEOUT};
use crate::link_stats::LinkStats;
use crate::metered::Metered;
use crate::{MAX_MESSAGE_BYTES, RpcError, TrafficCounters};
use capnp::ErrorKind;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use mangospindle_model::Clock;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// When a client closes a connection or checks it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Liveness {
    /// The connection is closed when an answer is due and nothing arrived for this long.
    pub(crate) silence: Duration,
    /// A ping is sent when nothing is due and nothing arrived for this long.
    pub(crate) idle_ping: Duration,
}

/// A client's connection to a control replica.
pub(crate) struct Connection {
    address: SocketAddr,
    client: control::Client,
    stats: Rc<LinkStats>,
    closed: watch::Sender<bool>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects. The connection is driven by a local task until it fails, goes silent or is
    /// dropped.
    pub(crate) async fn open(
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        counters: TrafficCounters,
        liveness: Liveness,
    ) -> Result<Connection, RpcError> {
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
        {
            Ok(stream) => stream?,
            Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut).into()),
        };
        stream.set_nodelay(true)?;
        let stats = LinkStats::new(clock, counters);
        let mut system = rpc_system(stream, Rc::clone(&stats), Side::Client, None);
        let client: control::Client = system.bootstrap(Side::Server);
        let closed = watch::Sender::new(false);
        let ended = closed.clone();
        let monitor = monitor(client.clone(), Rc::clone(&stats), liveness);
        let driver = tokio::task::spawn_local(async move {
            tokio::select! {
                result = system => log::debug!("connection to {address} ended: {result:?}"),
                () = monitor => log::warn!("connection to {address} is silent, closing it"),
            }
            ended.send_replace(true);
        });
        Ok(Connection {
            address,
            client,
            stats,
            closed,
            driver,
        })
    }

    pub(crate) fn client(&self) -> &control::Client {
        &self.client
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Completes when the connection is closed.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let mut closed = self.closed.subscribe();
        async move {
            // An error means that the connection was dropped.
            let _ = closed.wait_for(|closed| *closed).await;
        }
    }

    /// Exchanges views of the fleet.
    pub(crate) fn exchange(
        &self,
        request: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, RpcError>> + use<> {
        let mut call = self.client.exchange_request();
        call.get().set_request(request);
        let sent = self.call(call.send().promise);
        async move {
            let response = tokio::time::timeout(EXCHANGE_TIMEOUT, sent).await;
            let response = response.map_err(|_| RpcError::Closed)??;
            Ok(response.get()?.get_reply()?.to_vec())
        }
    }

    /// Waits for the answer of a call that was sent, or for the end of the connection.
    pub(crate) fn call<F, T>(
        &self,
        sent: F,
    ) -> impl Future<Output = Result<T, RpcError>> + use<F, T>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let closed = self.closed();
        let guard = self.stats.begin_call();
        let ended = self.closed.clone();
        async move {
            let _guard = guard;
            tokio::select! {
                biased;
                result = sent => {
                    // The protocol layer may outlive its stream and fail every further call.
                    let disconnected = |e: &capnp::Error| e.kind == ErrorKind::Disconnected;
                    if result.as_ref().is_err_and(disconnected) {
                        ended.send_replace(true);
                    }
                    Ok(result?)
                }
                () = closed => Err(RpcError::Closed),
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Builds the protocol layer of one side of a connection.
pub(crate) fn rpc_system(
    stream: TcpStream,
    stats: Rc<LinkStats>,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (read, write) = stream.into_split();
    let read = BufReader::new(Metered::new(read.compat(), Rc::clone(&stats)));
    let write = BufWriter::new(Metered::new(write.compat_write(), stats));
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / 8));
    let network = twoparty::VatNetwork::new(read, write, side, options);
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    system.set_background_error_handler(|e| log::debug!("connection task failed: {e}"));
    system
}

/// Completes when the connection is silent.
async fn monitor(client: control::Client, stats: Rc<LinkStats>, liveness: Liveness) {
    let mut interval = tokio::time::interval(liveness.silence / 8);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if stats.silence() >= liveness.silence {
            return;
        }
        if stats.outstanding() == 0 && stats.idle() >= liveness.idle_ping {
            let guard = stats.begin_call();
            let ping = client.ping_request().send().promise;
            tokio::task::spawn_local(async move {
                let _guard = guard;
                // A failed ping needs no handling: the connection ends or goes silent.
                let _ = tokio::time::timeout(liveness.silence * 2, ping).await;
            });
        }
    }
}

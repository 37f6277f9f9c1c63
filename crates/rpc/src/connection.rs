use crate::connection_stats::ConnectionStats;
use crate::control_capnp::control;
use crate::limits::{CONNECT_TIMEOUT, EXCHANGE_TIMEOUT};
use crate::metered_stream::MeteredStream;
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

/// Timeouts by which a client checks that a connection is alive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LivenessTimeouts {
    /// The connection is closed when a response is outstanding and no byte has arrived for this
    /// long.
    pub(crate) silence_timeout: Duration,
    /// A ping is sent when no response is outstanding and no byte has arrived for this long.
    pub(crate) keepalive_interval: Duration,
}

/// A client's connection to a control replica.
pub(crate) struct Connection {
    address: SocketAddr,
    client: control::Client,
    stats: Rc<ConnectionStats>,
    closed: watch::Sender<bool>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to `address` and spawns a local task that drives the connection until it fails,
    /// exceeds the silence timeout or is dropped.
    pub(crate) async fn open(
        address: SocketAddr,
        clock: Arc<dyn Clock>,
        counters: TrafficCounters,
        liveness: LivenessTimeouts,
    ) -> Result<Connection, RpcError> {
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
        {
            Ok(stream) => stream?,
            Err(_) => return Err(io::Error::from(io::ErrorKind::TimedOut).into()),
        };
        stream.set_nodelay(true)?;
        let stats = ConnectionStats::new(clock, counters);
        let mut system = rpc_system(stream, Rc::clone(&stats), Side::Client, None);
        let client: control::Client = system.bootstrap(Side::Server);
        let closed = watch::Sender::new(false);
        let closed_tx = closed.clone();
        let silent = wait_until_silent(client.clone(), Rc::clone(&stats), liveness);
        let driver = tokio::task::spawn_local(async move {
            tokio::select! {
                result = system => log::debug!("connection to {address} closed: {result:?}"),
                () = silent => log::warn!("connection to {address} is silent, closing it"),
            }
            closed_tx.send_replace(true);
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
            // `wait_for` fails when the sender, and with it the connection, has been dropped.
            let _ = closed.wait_for(|closed| *closed).await;
        }
    }

    /// Exchanges encoded views of the fleet with the replica.
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

    /// Waits for the response to a call that has been sent, or until the connection is closed.
    pub(crate) fn call<F, T>(
        &self,
        sent: F,
    ) -> impl Future<Output = Result<T, RpcError>> + use<F, T>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let closed = self.closed();
        let guard = self.stats.begin_call();
        let closed_tx = self.closed.clone();
        async move {
            let _guard = guard;
            tokio::select! {
                biased;
                result = sent => {
                    // The RPC system may outlive its stream and then fails every further call.
                    let disconnected = |e: &capnp::Error| e.kind == ErrorKind::Disconnected;
                    if result.as_ref().is_err_and(disconnected) {
                        closed_tx.send_replace(true);
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

/// Creates the RPC system for one side of a connection.
pub(crate) fn rpc_system(
    stream: TcpStream,
    stats: Rc<ConnectionStats>,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (read, write) = stream.into_split();
    let read = BufReader::new(MeteredStream::new(read.compat(), Rc::clone(&stats)));
    let write = BufWriter::new(MeteredStream::new(write.compat_write(), stats));
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / 8));
    let network = twoparty::VatNetwork::new(read, write, side, options);
    let mut system = RpcSystem::new(Box::new(network), bootstrap);
    system.set_background_error_handler(|e| {
        log::debug!("background task of a connection failed: {e}")
    });
    system
}

/// Completes when the silence timeout has expired. Sends keepalive pings while the connection is
/// idle.
async fn wait_until_silent(
    client: control::Client,
    stats: Rc<ConnectionStats>,
    liveness: LivenessTimeouts,
) {
    let mut interval = tokio::time::interval(liveness.silence_timeout / 8);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if stats.silent_time() >= liveness.silence_timeout {
            return;
        }
        if stats.outstanding() == 0 && stats.idle_time() >= liveness.keepalive_interval {
            let guard = stats.begin_call();
            let ping = client.ping_request().send().promise;
            tokio::task::spawn_local(async move {
                let _guard = guard;
                // The result is not needed: after a failed ping, the connection closes or the
                // silence timeout expires.
                let _ = tokio::time::timeout(liveness.silence_timeout * 2, ping).await;
            });
        }
    }
}

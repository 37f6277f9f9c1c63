use crate::{Fault, Node, pump};
use miette::{IntoDiagnostic, Result};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for connections when a proxy is dropped.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// A directed pair of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkKey {
    /// The sending node.
    pub from: Node,
    /// The receiving node.
    pub to: Node,
}

/// State of one direction between two nodes. `generation` grows with each silencing, so that
/// connections know whether they are older.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkState {
    pub(crate) fault: Fault,
    pub(crate) latency: Duration,
    pub(crate) generation: u64,
}

type Links = Arc<Mutex<HashMap<LinkKey, watch::Sender<LinkState>>>>;

/// A TCP proxy with one listener for each pair of nodes.
pub struct Proxy {
    /// Taken when the proxy is dropped.
    runtime: Option<Runtime>,
    links: Links,
}

impl Proxy {
    /// Creates a proxy without links.
    pub fn new() -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .into_diagnostic()?;
        Ok(Proxy {
            runtime: Some(runtime),
            links: Links::default(),
        })
    }

    /// Opens a listener at `listen` for connections of `key.from` to `key.to` at `target`.
    pub fn add(
        &self,
        key: LinkKey,
        listen: SocketAddr,
        target: SocketAddr,
        latency: Duration,
    ) -> Result<()> {
        let there = self.state(key, latency);
        let back = self.state(key.reversed(), latency);
        let listener = std::net::TcpListener::bind(listen).into_diagnostic()?;
        listener.set_nonblocking(true).into_diagnostic()?;
        if let Some(runtime) = &self.runtime {
            let _context = runtime.enter();
            let listener = TcpListener::from_std(listener).into_diagnostic()?;
            runtime.spawn(accept(listener, target, there, back));
        }
        Ok(())
    }

    /// Sets the fault of one direction.
    pub fn set(&self, key: LinkKey, fault: Fault) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = links.get(&key) {
            tx.send_modify(|state| {
                if fault.silence_existing {
                    state.generation += 1;
                }
                state.fault = fault;
            });
        }
    }

    /// Sets the fault of every direction for which `select` holds.
    pub fn set_where<F>(&self, select: F, fault: Fault)
    where
        F: Fn(LinkKey) -> bool,
    {
        let keys: Vec<LinkKey> = {
            let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
            links.keys().copied().filter(|key| select(*key)).collect()
        };
        keys.into_iter().for_each(|key| self.set(key, fault));
    }

    fn state(&self, key: LinkKey, latency: Duration) -> watch::Receiver<LinkState> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || {
            watch::Sender::new(LinkState {
                latency,
                ..LinkState::default()
            })
        };
        links.entry(key).or_insert_with(new).subscribe()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // A runtime must not be dropped on a thread that runs another one, as tests do.
        // Its listeners are closed when this returns.
        if let Some(runtime) = self.runtime.take() {
            let closed = std::thread::spawn(move || runtime.shutdown_timeout(SHUTDOWN_TIMEOUT));
            // A panic of the thread leaves nothing to close.
            let _ = closed.join();
        }
    }
}

impl LinkKey {
    /// The other direction.
    pub fn reversed(self) -> LinkKey {
        LinkKey {
            from: self.to,
            to: self.from,
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    there: watch::Receiver<LinkState>,
    back: watch::Receiver<LinkState>,
) {
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                tokio::spawn(connect(client, target, there.clone(), back.clone()));
            }
            // Out of descriptors: a listener that gave up would look like a dead process.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn connect(
    client: TcpStream,
    target: SocketAddr,
    mut there: watch::Receiver<LinkState>,
    mut back: watch::Receiver<LinkState>,
) {
    // The kernel has accepted the connection already; as long as the link is cut, no byte follows.
    for link in [&mut there, &mut back] {
        let open = link.wait_for(|state| !state.fault.cut).await.is_ok();
        if !open {
            return;
        }
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Fails only on a closed socket, which the pumps notice.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    pump::run(client, server, there, back).await;
}

use crate::control::Control;
use crate::routes::{InternalAddress, route};
use crate::server_state::ServerState;
use crate::{drain, follow, health, liveness, probe, queue, vm_list};
use actix_web::dev::ServerHandle;
use actix_web::http::KeepAlive;
use actix_web::{App, HttpServer, web};
use mangospindle_model::Clock;
use mangospindle_settings::EntrySettings;
use mangospindle_state::Config;
use miette::{IntoDiagnostic, Result};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long idle connections of callers and other entries stay open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for connections at the end, after all requests are done, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 2;

/// Most waiting connections per listener.
const BACKLOG: u32 = 4096;

/// The listeners and tasks of an entry process.
pub struct EntryServer {
    shared: Arc<ServerState>,
    handle: ServerHandle,
    public_address: SocketAddr,
    internal_address: SocketAddr,
}

impl EntryServer {
    /// Opens the listeners and starts all tasks but the watch. Must be called in an actix system.
    pub fn start(
        settings: EntrySettings,
        clock: Arc<dyn Clock>,
        control: Arc<dyn Control>,
    ) -> Result<Self> {
        let public = TcpListener::bind(settings.public_listen).into_diagnostic()?;
        let internal = TcpListener::bind(settings.internal_listen).into_diagnostic()?;
        let public_address = public.local_addr().into_diagnostic()?;
        let internal_address = internal.local_addr().into_diagnostic()?;
        let (shared, releases) = ServerState::new(settings, clock, control)?;
        let data = web::Data::new(Arc::clone(&shared));
        let tasks_started = Arc::new(AtomicBool::new(false));
        let internal_data = web::Data::new(InternalAddress(internal_address));
        let server = HttpServer::new(move || {
            // The tasks share the worker's thread, because it also holds the connections.
            if !tasks_started.swap(true, Ordering::Relaxed) {
                spawn_tasks(&data);
            }
            App::new()
                .app_data(data.clone())
                .app_data(internal_data.clone())
                .default_service(web::to(route))
        })
        // One worker: all decisions are in one place, and entry VMs are small.
        .workers(1)
        .backlog(BACKLOG)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(HEAD_TIMEOUT)
        // A caller that closes its side has gone; its work is cancelled.
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen(public)
        .and_then(|server| server.listen(internal))
        .into_diagnostic()?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        actix_rt::spawn(follow::release(Arc::clone(&shared), releases));
        actix_rt::spawn(follow::ask_peers(Arc::clone(&shared)));
        Ok(EntryServer {
            shared,
            handle,
            public_address,
            internal_address,
        })
    }

    /// Address of the listener for callers.
    pub fn public_address(&self) -> SocketAddr {
        self.public_address
    }

    /// Address of the listener for other entries.
    pub fn internal_address(&self) -> SocketAddr {
        self.internal_address
    }

    /// Applies a configuration that was known to be current `age` ago.
    pub fn install(&self, config: &Arc<Config>, age: Duration) {
        self.shared.apply_config(config);
        self.shared.record_confirmation(config.version, age);
    }

    /// Stops gracefully: no request in progress is interrupted before its deadline.
    pub async fn drain(self) {
        drain::drain(&self.shared).await;
        self.handle.stop(true).await;
    }

    pub(crate) fn shared(&self) -> &Arc<ServerState> {
        &self.shared
    }
}

fn spawn_tasks(shared: &Arc<ServerState>) {
    actix_rt::spawn(health::run(Arc::clone(shared)));
    actix_rt::spawn(probe::run(Arc::clone(shared)));
    actix_rt::spawn(liveness::run(Arc::clone(shared)));
    actix_rt::spawn(vm_list::run(Arc::clone(shared)));
    actix_rt::spawn(queue::run(Arc::clone(shared)));
}

use crate::control_plane::ControlPlane;
use crate::routes::{InternalAddress, route};
use crate::server_state::ServerState;
use crate::{control_sync, drain, health, liveness, probe, queue, vm_list};
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

/// Time for which idle connections from callers and other entries stay open.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Timeout for receiving a request head.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for closing connections at shutdown, after all requests have completed, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 2;

/// Maximum number of pending connections per listener.
const LISTEN_BACKLOG: u32 = 4096;

/// The listeners and tasks of an entry process.
pub struct EntryServer {
    shared: Arc<ServerState>,
    handle: ServerHandle,
    public_address: SocketAddr,
    internal_address: SocketAddr,
}

impl EntryServer {
    /// Opens the listeners and starts all tasks except the configuration watch. Must be called in
    /// an actix system.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be opened or the metrics cannot be registered.
    pub fn start(
        settings: EntrySettings,
        clock: Arc<dyn Clock>,
        control: Arc<dyn ControlPlane>,
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
            // The tasks run on the worker thread, which also owns the connections.
            if !tasks_started.swap(true, Ordering::Relaxed) {
                spawn_tasks(&data);
            }
            App::new()
                .app_data(data.clone())
                .app_data(internal_data.clone())
                .default_service(web::to(route))
        })
        // A single worker keeps all decisions on one thread; entry VMs are small.
        .workers(1)
        .backlog(LISTEN_BACKLOG)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        // A half-closed connection counts as a disconnect, which cancels the request.
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
        .disable_signals()
        .listen(public)
        .and_then(|server| server.listen(internal))
        .into_diagnostic()?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        actix_rt::spawn(control_sync::propose_releases(
            Arc::clone(&shared),
            releases,
        ));
        actix_rt::spawn(control_sync::poll_peers(Arc::clone(&shared)));
        Ok(EntryServer {
            shared,
            handle,
            public_address,
            internal_address,
        })
    }

    /// Returns the address of the listener for callers.
    pub fn public_address(&self) -> SocketAddr {
        self.public_address
    }

    /// Returns the address of the listener for other entries.
    pub fn internal_address(&self) -> SocketAddr {
        self.internal_address
    }

    /// Applies a configuration and records that it was current `age` ago. Only a newer version
    /// replaces the configuration in force.
    pub fn install(&self, config: &Arc<Config>, age: Duration) {
        self.shared.apply_config(config);
        self.shared.record_confirmation(config.version, age);
    }

    /// Stops the server gracefully. No request in progress is interrupted before its deadline.
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

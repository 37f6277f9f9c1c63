//! Runs the entry process.

use crate::control_handle::{ControlHandle, serve_calls};
use crate::control_plane::ControlPlane;
use crate::control_sync;
use crate::server::EntryServer;
use mangospindle_model::{Clock, MonotonicClock};
use mangospindle_rpc::{ControlClient, ControlClientSettings};
use mangospindle_settings::EntrySettings;
use mangospindle_telemetry::{event, init_logging};
use miette::{IntoDiagnostic, Result, miette};
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Runs an entry process until it receives SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Returns an error if logging, a signal handler or a listener cannot be set up, or if the settings
/// list no control replica.
pub async fn run(settings: EntrySettings) -> Result<()> {
    init_logging(&settings.name, &settings.log_level)?;
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let replicas = settings.control.clone();
    let (handle, calls) = ControlHandle::new(settings.name.clone());
    let control: Arc<dyn ControlPlane> = Arc::new(handle);
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let server = EntryServer::start(settings, Arc::clone(&clock), control)?;
    event!(Info, "entry_started", "public" => server.public_address(),
        "internal" => server.internal_address(), "version" => env!("CARGO_PKG_VERSION"));
    let client = ControlClient::start(ControlClientSettings {
        replicas,
        clock,
        report: None,
    });
    let client = client.ok_or_else(|| miette!("the settings list no control replica"))?;
    let shared = server.shared();
    actix_rt::spawn(control_sync::watch_config(
        Arc::clone(shared),
        client.clone(),
    ));
    actix_rt::spawn(control_sync::maintain_membership(Arc::clone(shared)));
    actix_rt::spawn(serve_calls(client, calls));
    futures::future::select(Box::pin(terminate.recv()), Box::pin(interrupt.recv())).await;
    server.drain().await;
    event!(Info, "entry_stopped");
    Ok(())
}

use crate::admin::{Role, Tokens};
use crate::http::start_http;
use crate::running_replica::RunningReplica;
use mangospindle_model::{Clock, MonotonicClock};
use mangospindle_settings::{ControlSettings, TokenRole};
use miette::{IntoDiagnostic, Result, WrapErr};
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Runs a control replica until SIGTERM or SIGINT. Must be called within an actix system.
///
/// Returns an error if the tokens are invalid, the replica cannot start, or the administration
/// listener cannot be opened.
pub async fn run(settings: ControlSettings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let tokens = build_tokens(&settings)?;
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let replica = RunningReplica::start((&settings).into(), Arc::clone(&clock)).await?;
    start_http(settings.admin_listen, replica.backend(), tokens)
        .into_diagnostic()
        .wrap_err("cannot open the administration listener")?;
    if let Some(address) = settings.vm_list.clone() {
        replica.poll_vm_list(address, clock);
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    replica.stop().await;
    Ok(())
}

/// Builds the tokens of the administration API from the settings.
fn build_tokens(settings: &ControlSettings) -> Result<Tokens> {
    let mut tokens = Tokens::default();
    for token in &settings.tokens {
        let role = match token.role {
            TokenRole::Viewer => Role::Viewer,
            TokenRole::Operator => Role::Operator,
            TokenRole::Owner => Role::Owner,
        };
        let added = tokens.add(&token.name, role, &token.sha256);
        added.into_diagnostic()?;
    }
    (tokens.check_listener(settings.admin_listen)).into_diagnostic()?;
    Ok(tokens)
}

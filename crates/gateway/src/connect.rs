//! Getting a connection to an endpoint.

use crate::gateway::Gateway;
use mangospindle_client::{Connection, Lease};
use mangospindle_dispatch::{Choice, EndpointKey};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a new connection: several round trips between regions, and short enough to try
/// another endpoint in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long the last answer on a connection proves that the connection works, for requests that
/// must not be repeated. A connection can go silent for good while new ones work.
const PROOF_TIME: Duration = Duration::from_secs(3);

/// Takes a connection from the pool, or opens one. Nothing has been sent if this fails.
pub(crate) async fn connect(
    gateway: &Gateway,
    choice: &Choice,
    idempotent: bool,
    time_left: Duration,
) -> io::Result<Lease<EndpointKey>> {
    let now = gateway.now();
    let proved_after = match idempotent {
        true => Duration::ZERO,
        false => now.saturating_sub(PROOF_TIME),
    };
    if let Some(lease) = gateway.pool.take(choice.ticket.endpoint, now, proved_after) {
        return Ok(lease);
    }
    let mut lease = Lease::unopened(Arc::clone(&gateway.pool), choice.ticket.endpoint);
    let timeout = CONNECT_TIMEOUT.min(time_left);
    let connection = Connection::open(choice.address, now, timeout).await?;
    gateway.metrics.connections_opened.inc();
    lease.set_connection(connection);
    Ok(lease)
}

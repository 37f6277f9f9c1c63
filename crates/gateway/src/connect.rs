//! Obtaining a connection to an endpoint.

use crate::gateway::Gateway;
use mangospindle_client::{Connection, Lease};
use mangospindle_dispatch::EndpointKey;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for opening a connection. It allows several round trips between regions and leaves time
/// to try another endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time since the last response on a pooled connection that is used for a request that is
/// not idempotent. A connection can stop delivering data for good while new ones work.
const MAX_VALIDATION_AGE: Duration = Duration::from_secs(3);

/// Returns a connection from the pool, or opens one. No byte of the request has been sent if this
/// fails.
pub(crate) async fn connect(
    gateway: &Gateway,
    endpoint: EndpointKey,
    address: SocketAddr,
    idempotent: bool,
    time_left: Duration,
) -> io::Result<Lease<EndpointKey>> {
    let now = gateway.now();
    let validated_after = match idempotent {
        true => Duration::ZERO,
        false => now.saturating_sub(MAX_VALIDATION_AGE),
    };
    if let Some(lease) = gateway.pool.acquire(endpoint, now, validated_after) {
        return Ok(lease);
    }
    let mut lease = Lease::unopened(Arc::clone(&gateway.pool), endpoint);
    let timeout = CONNECT_TIMEOUT.min(time_left);
    let connection = Connection::open(address, now, timeout).await?;
    gateway.metrics.connections_opened.inc();
    lease.set_connection(connection);
    Ok(lease)
}

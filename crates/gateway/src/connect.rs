//! Obtaining a connection to an endpoint.

use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use mangospindle_client::{Connection, ConnectionRequirement, Lease, PoolLookup};
use mangospindle_dispatch::EndpointKey;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for opening a connection. It allows several round trips between regions and leaves time
/// to try another endpoint.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time since the last response on a pooled connection that is used for a request that is
/// not idempotent. A connection can stop delivering data for good while new ones work.
const MAX_VALIDATION_AGE: Duration = Duration::from_secs(3);

/// Reason why there is no connection to an endpoint.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The endpoint closed its idle connections early, so it may have restarted.
    #[error("the idle connections were closed")]
    ClosedWhileIdle,
    /// No connection could be opened.
    #[error(transparent)]
    Unreachable(#[from] io::Error),
}

/// Returns a connection from the pool, or opens one if none was pooled. No byte of the request has
/// been sent if this fails.
pub(crate) async fn connect(
    gateway: &Gateway,
    endpoint: EndpointKey,
    address: SocketAddr,
    idempotent: bool,
    time_left: Duration,
) -> Result<Lease<ConnectionTarget>, ConnectError> {
    let now = gateway.now();
    let requirement = match idempotent {
        true => ConnectionRequirement::default(),
        false => ConnectionRequirement {
            validated_after: now.saturating_sub(MAX_VALIDATION_AGE),
            identified: true,
        },
    };
    let target = ConnectionTarget::Endpoint(endpoint);
    match gateway.pool.find(target, now, requirement) {
        PoolLookup {
            lease: Some(lease), ..
        } => Ok(lease),
        PoolLookup {
            closed_early: true, ..
        } => Err(ConnectError::ClosedWhileIdle),
        PoolLookup { .. } => {
            let timeout = CONNECT_TIMEOUT.min(time_left);
            Ok(open(gateway, endpoint, address, timeout).await?)
        }
    }
}

/// Opens a connection and tells the path monitor whether that succeeded.
pub(crate) async fn open(
    gateway: &Gateway,
    endpoint: EndpointKey,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<Lease<ConnectionTarget>> {
    let target = ConnectionTarget::Endpoint(endpoint);
    let mut lease = Lease::unopened(Arc::clone(&gateway.pool), target);
    let opened = Connection::open(address, gateway.now(), timeout).await;
    let mut paths = gateway.paths.borrow_mut();
    match &opened {
        Ok(_) => paths.record_connected(),
        // Less than the usual timeout says nothing about the path.
        Err(_) if timeout < CONNECT_TIMEOUT => {}
        Err(_) => paths.record_connect_failure(endpoint),
    }
    drop(paths);
    lease.set_connection(opened?);
    gateway.metrics.connections_opened.inc();
    Ok(lease)
}

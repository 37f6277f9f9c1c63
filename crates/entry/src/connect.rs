//! Connections to endpoints and to other entries, from the pool or new.

use crate::client::{Connection, Lease, Target};
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use mangospindle_model::{ErrorKind, RequestClass};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for opening a connection. Half of it is several times the longest round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection counts as working after its last response, for requests that must not be
/// repeated.
pub(crate) const VALIDATION_TTL: Duration = Duration::from_secs(1);

/// How recently a connection must have been validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// Any open connection.
    Any,
    /// A connection with a response within the last [`VALIDATION_TTL`].
    Validated,
    /// A new connection.
    New,
}

impl Freshness {
    /// Freshness that requests of a class require.
    pub(crate) fn for_class(class: RequestClass) -> Self {
        match class {
            RequestClass::Read => Freshness::Any,
            RequestClass::Upload | RequestClass::AtMostOnce => Freshness::Validated,
        }
    }

    /// Time on the local clock since which a pooled connection must have been validated.
    pub(crate) fn validated_after(self, now: Duration) -> Duration {
        match self {
            Freshness::Any => Duration::ZERO,
            Freshness::Validated => now.saturating_sub(VALIDATION_TTL),
            Freshness::New => Duration::MAX,
        }
    }
}

/// Gets a connection to `target`. On an error, no byte of a request has been sent.
pub(crate) async fn lease_connection(
    shared: &Arc<ServerState>,
    target: Target,
    address: SocketAddr,
    freshness: Freshness,
    deadline: Duration,
) -> Result<Lease, RequestError> {
    let now = shared.now();
    if let Some(lease) = shared
        .pool
        .acquire(target, now, freshness.validated_after(now))
    {
        return Ok(lease);
    }
    if !can_open_connection(shared, target) {
        // Closes an idle connection that is not fresh enough, to make room for a new one.
        drop(shared.pool.acquire_oldest(target));
        if !can_open_connection(shared, target) {
            return Err(RequestError::new(
                ErrorKind::NoCapacity,
                "the endpoint has no free connection",
            ));
        }
    }
    let mut lease = Lease::unopened(Arc::clone(&shared.pool), target);
    let timeout = CONNECT_TIMEOUT.min(deadline.saturating_sub(now));
    match Connection::open(address, now, timeout).await {
        Ok(connection) => {
            lease.set_connection(connection);
            Ok(lease)
        }
        Err(e) => Err(RequestError::new(
            ErrorKind::NoEndpoint,
            format!("cannot connect: {e}"),
        )),
    }
}

fn can_open_connection(shared: &ServerState, target: Target) -> bool {
    match target {
        Target::Entry(_) => true,
        Target::Endpoint(endpoint) => shared
            .with_routing(|state, now| state.admission.reserve_connection(now, endpoint))
            .unwrap_or(false),
    }
}

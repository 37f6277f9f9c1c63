//! Getting a connection to an endpoint or to another entry.

use crate::client::{Connection, Lease, Target};
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use mangospindle_model::{ErrorKind, RequestClass};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a new connection; half of it covers the longest round trip several times.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the last answer on a connection proves that the connection works, for requests that
/// must not be repeated.
pub(crate) const PROOF_TIME: Duration = Duration::from_secs(1);

/// Demand on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// Any open connection.
    Any,
    /// One that has proved alive within [`PROOF_TIME`].
    Proved,
    /// A new one.
    New,
}

impl Freshness {
    /// Demand of a request of a class.
    pub(crate) fn of(class: RequestClass) -> Self {
        match class {
            RequestClass::Read => Freshness::Any,
            RequestClass::Upload | RequestClass::AtMostOnce => Freshness::Proved,
        }
    }

    /// Earliest time of the last proof, on the local clock.
    pub(crate) fn proved_after(self, now: Duration) -> Duration {
        match self {
            Freshness::Any => Duration::ZERO,
            Freshness::Proved => now.saturating_sub(PROOF_TIME),
            Freshness::New => Duration::MAX,
        }
    }
}

/// Gets a connection. No byte of a request has been sent if this fails.
pub(crate) async fn lease_connection(
    shared: &Arc<ServerState>,
    target: Target,
    address: SocketAddr,
    freshness: Freshness,
    deadline: Duration,
) -> Result<Lease, RequestError> {
    let now = shared.now();
    if let Some(lease) = shared.pool.take(target, now, freshness.proved_after(now)) {
        return Ok(lease);
    }
    if !may_open(shared, target) {
        // An idle connection that is too old for this request makes room for a new one.
        drop(shared.pool.take_oldest(target));
        if !may_open(shared, target) {
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

fn may_open(shared: &ServerState, target: Target) -> bool {
    match target {
        Target::Entry(_) => true,
        Target::Endpoint(endpoint) => shared
            .with_routing(|d, now| d.admission.reserve_connection(now, endpoint))
            .unwrap_or(false),
    }
}

//! Connections to endpoints that may have restarted with their instance identifier.
//!
//! A connection leads to the same process as long as it is open. That the process is past its cold start holds
//! for each further request on the connection, and for no other one. An endpoint that becomes cold without a
//! restart is known from the platform's list.

use crate::attempt::AttemptContext;
use crate::connect::{CONNECT_TIMEOUT, ConnectError, connect, open};
use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use crate::health_checks::{check_on, log_report};
use mangospindle_client::{Connection, Lease};
use mangospindle_dispatch::{Choice, EndpointKey, HealthReport, LoadReading};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;

/// Time limit of a check before a request. The request then goes to another endpoint.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Probability of a check after a request on a connection of unknown state.
const LATER_CHECK_PROBABILITY: f64 = 0.1;

/// Time limit of a check after a request, which waits for a slot of the endpoint.
const LATER_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a request is not sent to the chosen endpoint.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NoConnection {
    /// No connection could be opened, or the idle ones were closed.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The endpoint is cold, which was not known when it was chosen.
    #[error("the endpoint is cold")]
    Cold,
    /// Another endpoint now listens at the address.
    #[error("another endpoint listens at the address")]
    Misdirected,
    /// The endpoint had no room for a check.
    #[error("the endpoint rejected a health check")]
    CheckRejected {
        /// Load that it reported.
        load: Option<LoadReading>,
    },
    /// The endpoint did not tell in time whether it is cold.
    #[error("the endpoint did not answer a health check")]
    CheckTimedOut,
}

/// Returns a connection for a request to the chosen endpoint. Unless the choice counts against the cold
/// rate limit, it leads to a process that is past its cold start, or the request counts as one before the
/// check. No byte of the request has been sent if this fails.
pub(crate) async fn connect_for_request(
    gateway: &Gateway,
    choice: &Choice,
    context: &AttemptContext<'_>,
) -> Result<Lease<ConnectionTarget>, NoConnection> {
    let (endpoint, address) = (choice.ticket.endpoint, choice.address);
    let has_id = !context.id.is_empty();
    // Without an id, a late second response to an earlier request cannot be told from the response.
    let any_connection = context.idempotent && has_id;
    let time_left = gateway.time_left(context);
    let mut lease = connect(gateway, endpoint, address, any_connection, time_left).await?;
    if choice.cold || is_warm(gateway, endpoint, &mut lease) {
        return Ok(lease);
    }
    let is_allowed = match lease.is_reused() {
        true => !gateway.dispatcher().requires_check(gateway.now(), endpoint),
        false => gateway.allow_unchecked_send(endpoint),
    };
    if is_allowed {
        return Ok(lease);
    }
    let timeout = CHECK_TIMEOUT.min(gateway.time_left(context));
    let (result, lease) = check(gateway, endpoint, lease, timeout).await;
    match (result, lease) {
        (CheckResult::Warm, Some(lease)) if has_id => return Ok(lease),
        (CheckResult::Warm, _) => {}
        (CheckResult::Cold, Some(lease)) => {
            lease.release();
            return Err(NoConnection::Cold);
        }
        (CheckResult::Cold, None) => return Err(NoConnection::Cold),
        (CheckResult::Misdirected, _) => return Err(NoConnection::Misdirected),
        (CheckResult::Rejected { load }, _) => return Err(NoConnection::CheckRejected { load }),
        // An endpoint that is busy answers late. Without a report, that is no sign of a restart.
        (CheckResult::TimedOut, _) if !gateway.dispatcher().is_reported(endpoint) => {}
        (CheckResult::TimedOut, _) => return Err(NoConnection::CheckTimedOut),
    }
    let timeout = CONNECT_TIMEOUT.min(gateway.time_left(context));
    let opened = open(gateway, endpoint, address, timeout).await;
    Ok(opened.map_err(ConnectError::from)?)
}

/// Whether to check a connection after a request on it. Entries report what they find, so that it suffices if
/// one of them checks after a few requests.
pub(crate) fn draw_later_check() -> bool {
    rand::rng().random_bool(LATER_CHECK_PROBABILITY)
}

/// Checks a connection after a request on it and returns it to the pool. Without a connection that
/// can be used again, another one is checked.
pub(crate) fn check_later(
    gateway: &Rc<Gateway>,
    choice: &Choice,
    lease: Option<Lease<ConnectionTarget>>,
) {
    let gateway = Rc::clone(gateway);
    let (endpoint, address) = (choice.ticket.endpoint, choice.address);
    tokio::task::spawn_local(async move {
        let lease = match lease {
            Some(lease) => Ok(lease),
            None => open(&gateway, endpoint, address, CONNECT_TIMEOUT).await,
        };
        // A failure to connect is found by the next request.
        let Ok(lease) = lease else {
            return;
        };
        let (result, lease) = check(&gateway, endpoint, lease, LATER_CHECK_TIMEOUT).await;
        if let Some(lease) = lease {
            lease.release();
        }
        if let CheckResult::Cold = result {
            gateway.report_restart(endpoint, "Cold");
        }
    });
}

/// Result of a check of a connection.
#[derive(Clone, Copy, Debug)]
enum CheckResult {
    Warm,
    Cold,
    Misdirected,
    /// There was no room for the check.
    Rejected {
        load: Option<LoadReading>,
    },
    TimedOut,
}

/// Asks an endpoint on a connection whether it is cold. Also returns the connection, if it can carry a
/// request.
async fn check(
    gateway: &Gateway,
    endpoint: EndpointKey,
    lease: Lease<ConnectionTarget>,
    timeout: Duration,
) -> (CheckResult, Option<Lease<ConnectionTarget>>) {
    let Some(check) = gateway.dispatcher().connection_check(endpoint) else {
        return (CheckResult::TimedOut, None);
    };
    let began_at = gateway.now();
    let checking = check_on(gateway, &check, lease, timeout);
    let checked = tokio::time::timeout(timeout, checking).await;
    let (report, mut lease) = checked.unwrap_or((HealthReport::Unanswered, None));
    log_report(&check, report);
    let result = match report {
        HealthReport::Answered { cold_for, .. } => {
            match gateway.record_connection_check(endpoint, began_at, cold_for) {
                true => CheckResult::Warm,
                false => CheckResult::Cold,
            }
        }
        HealthReport::Misdirected => CheckResult::Misdirected,
        HealthReport::Rejected { load } => CheckResult::Rejected { load },
        HealthReport::Unanswered => CheckResult::TimedOut,
    };
    let connection = lease.as_mut().and_then(Lease::connection);
    if let (CheckResult::Warm, Some(connection)) = (result, connection) {
        connection.peer_is_warm = true;
    }
    (result, lease)
}

/// Whether a connection is known to lead to a process that is past its cold start: it was checked, has been
/// open for longer than a cold start, or was opened beside another such connection that is still open.
fn is_warm(gateway: &Gateway, endpoint: EndpointKey, lease: &mut Lease<ConnectionTarget>) -> bool {
    let is_reused = lease.is_reused();
    let Some(connection) = lease.connection() else {
        return false;
    };
    let (now, age) = (
        gateway.now(),
        gateway.dispatcher().warm_connection_age(endpoint),
    );
    let is_proven = |c: &Connection| c.peer_is_warm || now >= c.opened_at + age;
    let target = ConnectionTarget::Endpoint(endpoint);
    connection.peer_is_warm =
        is_proven(connection) || (!is_reused && gateway.pool.has_open_with(target, is_proven));
    connection.peer_is_warm
}

//! Release of the slot of an abandoned request, after the endpoint has stopped working on it.

use crate::client::{Connection, Exchange};
use crate::permit_guard::PermitGuard;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Time after the deadline before a connection that the endpoint has not closed is reset. The
/// endpoint's deadline is later than ours by the network latency, since it starts when the request
/// arrives.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Time for an endpoint to notice that the connection was closed while it was sending a response.
const CLOSE_GRACE: Duration = Duration::from_millis(50);

/// Closes the connection of an exchange whose response has not started. Releases its slot when the
/// endpoint has closed the connection as well or the request's deadline has passed. Until then the
/// endpoint may still be working on the request.
pub(crate) fn release_when_endpoint_stops(exchange: Exchange, permit: PermitGuard) {
    let max_wait = permit.time_left() + DEADLINE_GRACE;
    // Without a runtime the process is shutting down, which frees all its slots.
    if tokio::runtime::Handle::try_current().is_err() {
        return;
    }
    actix_rt::spawn(async move {
        let Some(mut lease) = exchange.abandon() else {
            return;
        };
        if let Some(connection) = lease.connection() {
            let closed = wait_for_close(connection);
            if tokio::time::timeout(max_wait, closed).await.is_err() {
                // A reset also stops an endpoint that ignores the half-closed connection.
                // If the option cannot be set, the connection is closed normally.
                let _linger_result =
                    SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
                drop(lease);
                tokio::time::sleep(CLOSE_GRACE).await;
            }
        }
        drop(permit);
    });
}

/// Releases the slot of an exchange whose connection was closed during the response. A sending
/// endpoint notices the close only when it arrives, so the release is delayed by [`CLOSE_GRACE`].
pub(crate) fn release_after_close(permit: PermitGuard) {
    // Without a runtime the process is shutting down, which frees all its slots.
    if tokio::runtime::Handle::try_current().is_ok() {
        actix_rt::spawn(async move {
            tokio::time::sleep(CLOSE_GRACE).await;
            drop(permit);
        });
    }
}

async fn wait_for_close(connection: &mut Connection) {
    if connection.stream.shutdown().await.is_err() {
        return;
    }
    let mut buf = [0u8; 4096];
    while matches!(connection.stream.read(&mut buf).await, Ok(n) if n > 0) {}
}

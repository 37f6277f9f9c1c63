//! Keeping a slot until an endpoint has let go of a request that was given up.

use crate::client::{Connection, Exchange};
use crate::permit_guard::PermitGuard;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Time after the deadline for an endpoint that has not closed the connection. It counts its
/// deadline from the arrival of the request, which is later than ours by the way there.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Time that an endpoint has to notice that the connection was closed while it sent its answer.
const CLOSE_GRACE: Duration = Duration::from_millis(50);

/// Closes the connection of an exchange whose answer has not started, and frees its slot when the
/// endpoint has closed the connection as well or the request's deadline has passed. Until then the
/// endpoint may still be working on the request.
pub(crate) fn release_when_endpoint_stops(exchange: Exchange, permit: PermitGuard) {
    let left = permit.time_left() + DEADLINE_GRACE;
    // Without a runtime the process is ending, and its slots with it.
    if tokio::runtime::Handle::try_current().is_err() {
        return;
    }
    actix_rt::spawn(async move {
        let Some(mut lease) = exchange.abandon() else {
            return;
        };
        if let Some(connection) = lease.connection() {
            let closed = wait_for_close(connection);
            if tokio::time::timeout(left, closed).await.is_err() {
                // A reset also ends the work of an endpoint that ignores the closed sending side.
                // If it cannot be set, the connection is closed the usual way.
                let _unset = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
                drop(lease);
                tokio::time::sleep(CLOSE_GRACE).await;
            }
        }
        drop(permit);
    });
}

/// Frees the slot of an exchange whose connection was closed within the answer. An endpoint that
/// sends notices the close at once, but not before it has arrived.
pub(crate) fn release_after_close(permit: PermitGuard) {
    // Without a runtime the process is ending, and its slots with it.
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
    let mut late = [0u8; 4096];
    while matches!(connection.stream.read(&mut late).await, Ok(n) if n > 0) {}
}

//! Checks of idle connections, so that broken ones are closed before a request uses them.

use crate::client::{Lease, Target};
use crate::connect::VALIDATION_TTL;
use crate::fetch;
use crate::remote::internal_address;
use crate::server_state::ServerState;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks of the idle connections.
const INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a ping on an idle connection.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a request after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// Checks idle connections until the process exits.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let mut ticker = tokio::time::interval(INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        let now = shared.now();
        // Pings two intervals early, so that validations do not expire between two checks.
        let validated_before = now.saturating_sub(VALIDATION_TTL - INTERVAL * 2);
        for (target, mut lease) in shared.pool.acquire_unvalidated(validated_before) {
            let is_expired = lease
                .connection()
                .is_none_or(|c| now.saturating_sub(c.last_used_at) > MAX_IDLE);
            if !is_expired {
                let shared = Arc::clone(&shared);
                actix_rt::spawn(async move { ping(&shared, target, lease).await });
            }
        }
    }
}

async fn ping(shared: &ServerState, target: Target, mut lease: Lease) {
    let destination = shared.with_routing(|state, _| {
        let topology = &state.config.topology;
        match target {
            Target::Endpoint(id) => (topology.endpoints[id.index()].address, "/health"),
            Target::Entry(id) => (internal_address(shared, topology, id), "/internal/v1/ping"),
        }
    });
    let Ok((address, path)) = destination else {
        return;
    };
    // A ping must not count as use, or idle connections would never be closed.
    lease.preserve_last_used_at();
    let response = fetch::get(shared, lease, address, path, 16 * 1024);
    // Without a response, the connection is closed when its lease is dropped.
    let _response = tokio::time::timeout(PING_TIMEOUT, response).await;
}

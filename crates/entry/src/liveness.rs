//! Checking idle connections, so that silent ones are found before a request uses them.

use crate::client::{Lease, Target};
use crate::connect::PROOF_TIME;
use crate::fetch;
use crate::remote::internal_address;
use crate::server_state::ServerState;
use std::sync::Arc;
use std::time::Duration;

/// Time between two looks at the idle connections.
const INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the answer on an idle connection.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(15);

/// Checks idle connections until the process ends.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = shared.now();
        // Checked a little early, so that the proof does not run out between two looks.
        let proved_before = now.saturating_sub(PROOF_TIME - INTERVAL * 2);
        for (target, mut lease) in shared.pool.take_unproved(proved_before) {
            let idle = lease
                .connection()
                .is_none_or(|c| now.saturating_sub(c.used_at) > MAX_IDLE);
            if !idle {
                let shared = Arc::clone(&shared);
                actix_rt::spawn(async move { ping(&shared, target, lease).await });
            }
        }
    }
}

async fn ping(shared: &ServerState, target: Target, mut lease: Lease) {
    let found = shared.with_routing(|d, _| {
        let topology = &d.config.topology;
        match target {
            Target::Endpoint(id) => (topology.endpoints[id.index()].address, "/health"),
            Target::Entry(id) => (internal_address(shared, topology, id), "/internal/v1/ping"),
        }
    });
    let Ok((address, path)) = found else {
        return;
    };
    // A check must not count as use, or idle connections would never be closed.
    lease.keep_use_time();
    let answer = fetch::get(shared, lease, address, path, 16 * 1024);
    // Without an answer, the connection is closed with its lease.
    let _answered = tokio::time::timeout(PING_TIMEOUT, answer).await;
}

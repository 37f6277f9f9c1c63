//! Polling the health of the endpoints that this entry owns.

use crate::client::{Lease, Target};
use crate::connect::{Freshness, lease_connection};
use crate::fetch;
use crate::server_state::ServerState;
use mangospindle_model::EndpointId;
use mangospindle_quota::EndpointObservation;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time between two health checks of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait for the answer to a health check.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the answer on a reused connection, which may be silent.
const REUSED_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest health answer that is read, in bytes.
const MAX_HEALTH_BYTES: usize = 16 * 1024;

/// Health answer of an endpoint. Unknown members are ignored.
#[derive(Debug, Deserialize)]
struct HealthAnswer {
    state: HealthState,
    #[serde(default)]
    load: f32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HealthState {
    Ok,
    Leaving,
}

/// Polls all owned endpoints until the process ends.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let polling: Arc<Mutex<HashSet<EndpointId>>> = Arc::default();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (endpoint, address) in owned(&shared) {
            // An endpoint that answers slowly is not asked twice at a time.
            let mut set = polling.lock().unwrap_or_else(PoisonError::into_inner);
            if set.insert(endpoint) {
                let (shared, polling) = (Arc::clone(&shared), Arc::clone(&polling));
                actix_rt::spawn(async move {
                    poll(&shared, endpoint, address).await;
                    let mut set = polling.lock().unwrap_or_else(PoisonError::into_inner);
                    set.remove(&endpoint);
                });
            }
        }
    }
}

fn owned(shared: &ServerState) -> Vec<(EndpointId, SocketAddr)> {
    let owned = shared.with_routing(|d, _| {
        (d.config.topology.endpoint_ids())
            .filter(|id| d.config.owner_of(*id) == Some(d.entry))
            .map(|id| (id, d.config.topology.endpoints[id.index()].address))
            .collect()
    });
    owned.unwrap_or_default()
}

async fn poll(shared: &Arc<ServerState>, endpoint: EndpointId, address: SocketAddr) {
    let target = Target::Endpoint(endpoint);
    // The connection that has been idle for longest: the check proves that it still works. A silent
    // connection says nothing about the endpoint, so that a new one follows.
    let mut answer = None;
    if let Some(mut lease) = shared.pool.take_oldest(target) {
        lease.keep_use_time();
        answer = check(shared, lease, address, REUSED_TIMEOUT).await;
    }
    if answer.is_none() {
        let deadline = shared.now() + POLL_TIMEOUT;
        if let Ok(lease) = lease_connection(shared, target, address, Freshness::New, deadline).await
        {
            answer = check(shared, lease, address, POLL_TIMEOUT).await;
        }
    }
    let reading = match answer {
        Some(answer) if answer.state == HealthState::Leaving => EndpointObservation::Leaving,
        Some(answer) => EndpointObservation::Healthy { load: answer.load },
        None => EndpointObservation::Unresponsive,
    };
    let actions = shared.with_routing(|d, now| d.admission.observe(now, endpoint, reading));
    shared.run_actions(actions.unwrap_or_default());
}

async fn check(
    shared: &ServerState,
    lease: Lease,
    address: SocketAddr,
    timeout: Duration,
) -> Option<HealthAnswer> {
    let answer = fetch::get(shared, lease, address, "/health", MAX_HEALTH_BYTES);
    let body = tokio::time::timeout(timeout, answer).await.ok()??;
    serde_json::from_slice(&body).ok()
}

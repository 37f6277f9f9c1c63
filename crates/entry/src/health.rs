//! Checks the health of the endpoints that this entry owns.

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
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a health check on a new connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a health check on a reused connection, which may be silent.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a health response, in bytes.
const MAX_HEALTH_BYTES: usize = 16 * 1024;

/// Health response of an endpoint. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct HealthResponse {
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

/// Checks all owned endpoints periodically until the process exits.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let pending: Arc<Mutex<HashSet<EndpointId>>> = Arc::default();
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (endpoint, address) in owned_endpoints(&shared) {
            // An endpoint is skipped while its previous check is in progress.
            let mut set = pending.lock().unwrap_or_else(PoisonError::into_inner);
            if set.insert(endpoint) {
                let (shared, pending) = (Arc::clone(&shared), Arc::clone(&pending));
                actix_rt::spawn(async move {
                    check_endpoint(&shared, endpoint, address).await;
                    let mut set = pending.lock().unwrap_or_else(PoisonError::into_inner);
                    set.remove(&endpoint);
                });
            }
        }
    }
}

fn owned_endpoints(shared: &ServerState) -> Vec<(EndpointId, SocketAddr)> {
    let owned = shared.with_routing(|routing, _| {
        (routing.config.topology.endpoint_ids())
            .filter(|id| routing.config.owner_of(*id) == Some(routing.entry))
            .map(|id| (id, routing.config.topology.endpoints[id.index()].address))
            .collect()
    });
    owned.unwrap_or_default()
}

async fn check_endpoint(shared: &Arc<ServerState>, endpoint: EndpointId, address: SocketAddr) {
    let target = Target::Endpoint(endpoint);
    // The check uses the connection with the oldest validation, to validate it again. A silent
    // connection does not show that the endpoint is down, so a failed check is repeated on a new
    // connection.
    let mut response = None;
    if let Some(mut lease) = shared.pool.acquire_oldest(target) {
        lease.preserve_last_used_at();
        response = fetch_health(shared, lease, address, REUSED_CONNECTION_TIMEOUT).await;
    }
    if response.is_none() {
        let deadline = shared.now() + CHECK_TIMEOUT;
        if let Ok(lease) = lease_connection(shared, target, address, Freshness::New, deadline).await
        {
            response = fetch_health(shared, lease, address, CHECK_TIMEOUT).await;
        }
    }
    let observation = match response {
        Some(response) if response.state == HealthState::Leaving => EndpointObservation::Leaving,
        Some(response) => EndpointObservation::Healthy {
            load: response.load,
        },
        None => EndpointObservation::Unresponsive,
    };
    let actions =
        shared.with_routing(|routing, now| routing.admission.observe(now, endpoint, observation));
    shared.run_actions(actions.unwrap_or_default());
}

async fn fetch_health(
    shared: &ServerState,
    lease: Lease,
    address: SocketAddr,
    timeout: Duration,
) -> Option<HealthResponse> {
    let request = fetch::get(shared, lease, address, "/health", MAX_HEALTH_BYTES);
    let body = tokio::time::timeout(timeout, request).await.ok()??;
    serde_json::from_slice(&body).ok()
}

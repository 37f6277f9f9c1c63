//! Synchronization with the control replicas: applies new configurations, maintains this entry's
//! membership and proposes the release of endpoints. While no replica confirms the configuration,
//! this entry requests it from other entries.

use crate::client::Target;
use crate::config_api::ConfigResponse;
use crate::connect::{Freshness, lease_connection};
use crate::drain_state::DrainPhase;
use crate::fetch;
use crate::propose_with_retry::propose_with_retry;
use crate::remote::internal_address;
use crate::server_state::{EndpointRelease, ServerState};
use mangospindle_model::EntryId;
use mangospindle_rpc::{ControlClient, EntryReport};
use mangospindle_state::{CommandKind, EntryStatus, RequestId};
use mangospindle_telemetry::event;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time without a confirmation after which the entries of the failure domain are polled for the
/// configuration, and time between two polls.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two checks of this entry's status in the replicated state.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for a configuration request to another entry.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an encoded configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 64 * 1024 * 1024;

/// Applies each view of the replicated state that the client receives, until the client stops.
pub(crate) async fn watch_config(shared: Arc<ServerState>, client: ControlClient) {
    let mut views = client.subscribe();
    loop {
        let view = views.borrow_and_update().clone();
        shared.apply_config(&view.config);
        if let Some(at) = view.confirmed_at {
            shared.record_confirmation(view.config.version, shared.now().saturating_sub(at));
        }
        if let Some(entry) = shared.entry_id() {
            client.set_report(EntryReport {
                entry,
                incarnation: shared.incarnation,
                draining: shared.drain.phase() != DrainPhase::Serving,
            });
        }
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Proposes that this process joins as the entry, whenever the replicated state does not name it as
/// the active one. Returns when the process drains.
pub(crate) async fn maintain_membership(shared: Arc<ServerState>) {
    let mut attempt = 0u64;
    loop {
        tokio::time::sleep(STATUS_CHECK_INTERVAL).await;
        if shared.drain.phase() != DrainPhase::Serving {
            return;
        }
        let status = shared.with_routing(|state, _| {
            let status = state.config.entry_status.get(state.entry.index()).copied();
            (state.entry, status.unwrap_or(EntryStatus::Absent))
        });
        let joined = EntryStatus::Active {
            incarnation: shared.incarnation,
        };
        let (entry, status) = match status {
            Ok((entry, status)) if status != joined => (entry, status),
            Ok(_) | Err(_) => continue,
        };
        attempt += 1;
        event!(Info, "entry_joining", "previous_status" => format!("{status:?}"));
        let command = CommandKind::EntryJoin {
            entry,
            incarnation: shared.incarnation,
        };
        let name = format!(
            "{}/{:016x}/join/{attempt}",
            shared.settings.name, shared.incarnation
        );
        let outcome = propose_with_retry(&shared, command, RequestId(name)).await;
        event!(Info, "entry_join_result", "outcome" => format!("{outcome:?}"));
        // Leaves time for the configuration watch to deliver the new status.
        tokio::time::sleep(STATUS_CHECK_INTERVAL * 5).await;
    }
}

/// Proposes the release of endpoints that are ready for it.
pub(crate) async fn propose_releases(
    shared: Arc<ServerState>,
    mut releases: mpsc::UnboundedReceiver<EndpointRelease>,
) {
    while let Some((endpoint, epoch)) = releases.recv().await {
        let Some(entry) = shared.entry_id() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        actix_rt::spawn(async move {
            let command = CommandKind::ReleaseEndpoint {
                endpoint,
                entry,
                epoch,
            };
            let name = format!("{}/release/{endpoint}/{epoch}", shared.settings.name);
            let outcome = propose_with_retry(&shared, command, RequestId(name)).await;
            event!(Info, "endpoint_released", "endpoint" => shared.endpoint_name(endpoint),
                "epoch" => epoch, "outcome" => format!("{outcome:?}"));
        });
    }
}

/// Requests the configuration from the other entries of the failure domain while no control replica
/// confirms it.
pub(crate) async fn poll_peers(shared: Arc<ServerState>) {
    loop {
        tokio::time::sleep(CONFIRMATION_TIMEOUT).await;
        let peers = shared.with_routing(|state, now| {
            let confirmed = state
                .confirmed_at
                .is_some_and(|at| now.saturating_sub(at) < CONFIRMATION_TIMEOUT);
            let topology = &state.config.topology;
            let domain = topology.entries[state.entry.index()].failure_domain;
            let is_peer = |id: &EntryId| {
                *id != state.entry && topology.entries[id.index()].failure_domain == domain
            };
            let peers: Vec<_> = (topology.entry_ids().filter(is_peer))
                .map(|id| (id, internal_address(&shared, topology, id)))
                .collect();
            (
                if confirmed { Vec::new() } else { peers },
                state.config.version,
            )
        });
        let (peers, version) = peers.unwrap_or_default();
        for (entry, address) in peers {
            let request =
                tokio::time::timeout(PEER_TIMEOUT, fetch_config(&shared, entry, address, version));
            if let Ok(Some(response)) = request.await {
                apply_peer_config(&shared, response);
            }
        }
    }
}

async fn fetch_config(
    shared: &Arc<ServerState>,
    entry: EntryId,
    address: SocketAddr,
    version: u64,
) -> Option<(ConfigResponse, Duration)> {
    let requested_at = shared.now();
    let deadline = requested_at + PEER_TIMEOUT;
    let target = Target::Entry(entry);
    let lease = lease_connection(shared, target, address, Freshness::New, deadline)
        .await
        .ok()?;
    let path = format!("/internal/v1/config?after={version}");
    let bytes = fetch::get(shared, lease, address, &path, MAX_CONFIG_BYTES).await?;
    Some((postcard::from_bytes(&bytes).ok()?, requested_at))
}

fn apply_peer_config(shared: &ServerState, (response, requested_at): (ConfigResponse, Duration)) {
    if let Some(config) = response.config {
        event!(Info, "config_from_peer", "version" => config.version);
        shared.apply_config(&Arc::new(config));
    }
    if let Some(age) = response.confirmed_age_ms.map(Duration::from_millis) {
        // The age counts from the request, because the response may have been delayed.
        // Confirmations from before the start of this process are ignored: they may precede a
        // release of an endpoint by the previous process.
        let now = shared.now();
        let age = age + now.saturating_sub(requested_at);
        if now.saturating_sub(age) > shared.started_at {
            shared.record_confirmation(response.version, age);
        }
    }
}

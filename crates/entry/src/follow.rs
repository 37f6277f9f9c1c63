//! Following the agreed state: the watch, and other entries while no replica answers.

use crate::client::Target;
use crate::config_api::ConfigAnswer;
use crate::connect::{Freshness, lease_connection};
use crate::drain_state::DrainPhase;
use crate::fetch;
use crate::persist::persist;
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

/// Time without a confirmation after which the entries of the failure domain are asked, and time
/// between two rounds of questions.
const CUT_OFF_TIME: Duration = Duration::from_secs(2);

/// Time between two looks at what has to be told to the control replicas.
const INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait for a configuration from another entry.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest encoded configuration, in bytes.
const MAX_CONFIG_BYTES: usize = 64 * 1024 * 1024;

/// Applies each view of the client until the client ends.
pub(crate) async fn watch(shared: Arc<ServerState>, client: ControlClient) {
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

/// Joins, and joins again if the agreed state names another process, until the process stops.
pub(crate) async fn join(shared: Arc<ServerState>) {
    let mut attempt = 0u64;
    loop {
        tokio::time::sleep(INTERVAL).await;
        if shared.drain.phase() != DrainPhase::Serving {
            return;
        }
        let status = shared.with_routing(|d, _| {
            let status = d.config.entry_status.get(d.entry.index()).copied();
            (d.entry, status.unwrap_or(EntryStatus::Absent))
        });
        let ours = EntryStatus::Active {
            incarnation: shared.incarnation,
        };
        let (entry, status) = match status {
            Ok((entry, status)) if status != ours => (entry, status),
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
        let outcome = persist(&shared, command, RequestId(name)).await;
        event!(Info, "entry_join_result", "outcome" => format!("{outcome:?}"));
        // The watch brings the new status soon after.
        tokio::time::sleep(INTERVAL * 5).await;
    }
}

/// Proposes the release of endpoints that are ready for it.
pub(crate) async fn release(
    shared: Arc<ServerState>,
    mut ready: mpsc::UnboundedReceiver<EndpointRelease>,
) {
    while let Some((endpoint, epoch)) = ready.recv().await {
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
            let outcome = persist(&shared, command, RequestId(name)).await;
            event!(Info, "endpoint_released", "endpoint" => shared.endpoint_name(endpoint),
                "epoch" => epoch, "outcome" => format!("{outcome:?}"));
        });
    }
}

/// Asks the entries of the failure domain for the configuration while no replica confirms it.
pub(crate) async fn ask_peers(shared: Arc<ServerState>) {
    loop {
        tokio::time::sleep(CUT_OFF_TIME).await;
        let peers = shared.with_routing(|d, now| {
            let fresh = d
                .confirmed_at
                .is_some_and(|at| now.saturating_sub(at) < CUT_OFF_TIME);
            let topology = &d.config.topology;
            let domain = topology.entries[d.entry.index()].failure_domain;
            let near = |id: &EntryId| {
                *id != d.entry && topology.entries[id.index()].failure_domain == domain
            };
            let peers: Vec<_> = (topology.entry_ids().filter(near))
                .map(|id| (id, internal_address(&shared, topology, id)))
                .collect();
            (if fresh { Vec::new() } else { peers }, d.config.version)
        });
        let (peers, version) = peers.unwrap_or_default();
        for (entry, address) in peers {
            let asked = tokio::time::timeout(PEER_TIMEOUT, ask(&shared, entry, address, version));
            if let Ok(Some(answer)) = asked.await {
                apply(&shared, answer);
            }
        }
    }
}

async fn ask(
    shared: &Arc<ServerState>,
    entry: EntryId,
    address: SocketAddr,
    version: u64,
) -> Option<(ConfigAnswer, Duration)> {
    let asked_at = shared.now();
    let deadline = asked_at + PEER_TIMEOUT;
    let target = Target::Entry(entry);
    let lease = lease_connection(shared, target, address, Freshness::New, deadline)
        .await
        .ok()?;
    let path = format!("/internal/v1/config?after={version}");
    let bytes = fetch::get(shared, lease, address, &path, MAX_CONFIG_BYTES).await?;
    Some((postcard::from_bytes(&bytes).ok()?, asked_at))
}

fn apply(shared: &ServerState, (answer, asked_at): (ConfigAnswer, Duration)) {
    if let Some(config) = answer.config {
        event!(Info, "config_from_peer", "version" => config.version);
        shared.apply_config(&Arc::new(config));
    }
    if let Some(age) = answer.confirmed_age_ms.map(Duration::from_millis) {
        // Counted from the question, because the answer may have been on its way for long. What was
        // confirmed before this process started may be older than a release by its predecessor.
        let now = shared.now();
        let age = age + now.saturating_sub(asked_at);
        if now.saturating_sub(age) > shared.started_at {
            shared.record_confirmation(answer.version, age);
        }
    }
}

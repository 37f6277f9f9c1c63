//! Probes other entries for their round-trip time, free slots and configuration version.

use crate::client::Target;
use crate::connect::{Freshness, lease_connection};
use crate::fetch;
use crate::internal_api::ProbeResponse;
use crate::remote::internal_address;
use crate::server_state::ServerState;
use mangospindle_model::EntryId;
use mangospindle_routing::OwnerEvent;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout of a probe, including the connection setup.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of entries probed in a round.
const MAX_PROBED_ENTRIES: usize = 16;

/// Maximum size of a probe response, in bytes.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// Probes other entries periodically until the process exits.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (entry, address) in probe_targets(&shared) {
            let shared = Arc::clone(&shared);
            actix_rt::spawn(async move { probe(&shared, entry, address).await });
        }
    }
}

/// Returns at most [`MAX_PROBED_ENTRIES`] active entries to probe: entries of the local region
/// first, otherwise in random order.
fn probe_targets(shared: &ServerState) -> Vec<(EntryId, SocketAddr)> {
    let targets = shared.with_routing(|state, _| {
        let topology = &state.config.topology;
        let local_region = topology.entry_region(state.entry);
        let mut others: Vec<EntryId> = (topology.entry_ids())
            .filter(|id| *id != state.entry && state.config.is_active(*id))
            .collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|id| topology.entry_region(*id) != local_region);
        (others.into_iter().take(MAX_PROBED_ENTRIES))
            .map(|id| (id, internal_address(shared, topology, id)))
            .collect()
    });
    targets.unwrap_or_default()
}

async fn probe(shared: &Arc<ServerState>, entry: EntryId, address: SocketAddr) {
    let start = shared.now();
    let target = Target::Entry(entry);
    let request = async {
        let lease = match shared.pool.acquire_oldest(target) {
            Some(mut lease) => {
                lease.preserve_last_used_at();
                lease
            }
            None => lease_connection(
                shared,
                target,
                address,
                Freshness::New,
                start + PROBE_TIMEOUT,
            )
            .await
            .ok()?,
        };
        let path = "/internal/v1/probe";
        let body = fetch::get(shared, lease, address, path, MAX_PROBE_BYTES).await?;
        serde_json::from_slice::<ProbeResponse>(&body).ok()
    };
    let response = tokio::time::timeout(PROBE_TIMEOUT, request)
        .await
        .ok()
        .flatten();
    let round_trip = shared.now().saturating_sub(start);
    // Fails only if there is no configuration; there is nothing to update then.
    let _missing = shared.with_routing(|state, now| {
        let round_trip = response.as_ref().map(|_| round_trip);
        state.router.observe_probe(entry, round_trip);
        for (name, free) in response.iter().flat_map(|r| &r.free_slots) {
            if let Some(service) = state.config.topology.service_by_name(name) {
                let event = OwnerEvent::FreeSlots { free: *free };
                state.router.observe(now, entry, service, event);
            }
        }
    });
}

//! Probing other entries: round trip, free slots, configuration version.

use crate::client::Target;
use crate::connect::{Freshness, lease_connection};
use crate::fetch;
use crate::internal_api::ProbeAnswer;
use crate::remote::internal_address;
use crate::server_state::ServerState;
use mangospindle_model::EntryId;
use mangospindle_routing::OwnerEvent;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds of probes.
const INTERVAL: Duration = Duration::from_secs(2);

/// Longest wait for the answer to a probe.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Most entries that are probed in a round.
const MAX_PROBED: usize = 16;

/// Longest answer to a probe, in bytes.
const MAX_PROBE_BYTES: usize = 64 * 1024;

/// Probes other entries until the process ends.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (entry, address) in probed(&shared) {
            let shared = Arc::clone(&shared);
            actix_rt::spawn(async move { probe(&shared, entry, address).await });
        }
    }
}

/// The entries to probe: all if they are few; otherwise those of the own region first, and a
/// random choice of the others.
fn probed(shared: &ServerState) -> Vec<(EntryId, SocketAddr)> {
    let probed = shared.with_routing(|d, _| {
        let topology = &d.config.topology;
        let own = topology.entry_region(d.entry);
        let mut others: Vec<EntryId> = (topology.entry_ids())
            .filter(|id| *id != d.entry && d.config.is_active(*id))
            .collect();
        others.shuffle(&mut rand::rng());
        others.sort_by_key(|id| topology.entry_region(*id) != own);
        (others.into_iter().take(MAX_PROBED))
            .map(|id| (id, internal_address(shared, topology, id)))
            .collect()
    });
    probed.unwrap_or_default()
}

async fn probe(shared: &Arc<ServerState>, entry: EntryId, address: SocketAddr) {
    let start = shared.now();
    let target = Target::Entry(entry);
    let ask = async {
        let lease = match shared.pool.take_oldest(target) {
            Some(mut lease) => {
                lease.keep_use_time();
                lease
            }
            None => lease_connection(shared, target, address, Freshness::New, start + TIMEOUT)
                .await
                .ok()?,
        };
        let path = "/internal/v1/probe";
        let body = fetch::get(shared, lease, address, path, MAX_PROBE_BYTES).await?;
        serde_json::from_slice::<ProbeAnswer>(&body).ok()
    };
    let answer = tokio::time::timeout(TIMEOUT, ask).await.ok().flatten();
    let round_trip = shared.now().saturating_sub(start);
    // Without a configuration there is nothing to update.
    let _missing = shared.with_routing(|d, now| {
        let round_trip = answer.as_ref().map(|_| round_trip);
        d.router.observe_probe(entry, round_trip);
        for (name, free) in answer.iter().flat_map(|a| &a.free_slots) {
            if let Some(service) = d.config.topology.service_by_name(name) {
                let event = OwnerEvent::FreeSlots { free: *free };
                d.router.observe(now, entry, service, event);
            }
        }
    });
}

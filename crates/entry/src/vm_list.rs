//! Reading the platform's list of live and leaving VMs.

use crate::client::{Connection, Lease, Pool, Target};
use crate::fetch;
use crate::shared::Shared;
use mangospindle_model::EndpointId;
use mangospindle_quota::EndpointReading;
use mangospindle_telemetry::event;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two readings of the list.
const INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the list.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Longest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Path of the list if the settings give an address only.
const DEFAULT_PATH: &str = "/vms";

#[derive(Debug, Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

#[derive(Debug, Deserialize)]
struct Vm {
    name: String,
    state: VmState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

/// Reads the list until the process ends. Returns at once if there is none.
pub(crate) async fn run(shared: Arc<Shared>) {
    let Some(url) = shared.settings.vm_list.clone() else {
        return;
    };
    let Some((address, path)) = split(&url) else {
        event!(Error, "vm_list_address_invalid", "address" => url);
        return;
    };
    // The list is not an endpoint: its connections are not counted, and each is used once.
    let pool = Pool::new(Box::new(|_| {}));
    let mut readable = true;
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let reading = read(&shared, &pool, address, &path);
        let list = tokio::time::timeout(TIMEOUT, reading).await.ok().flatten();
        if list.is_some() != readable {
            readable = list.is_some();
            event!(Warn, "vm_list_readable_changed", "readable" => readable);
        }
        if let Some(list) = list {
            apply(&shared, list);
        }
    }
}

async fn read(
    shared: &Shared,
    pool: &Arc<Pool>,
    address: SocketAddr,
    path: &str,
) -> Option<VmList> {
    let mut lease = Lease::unopened(Arc::clone(pool), Target::Endpoint(EndpointId(0)));
    let connection = Connection::open(address, shared.now(), TIMEOUT)
        .await
        .ok()?;
    lease.set_connection(connection);
    let body = fetch::get(shared, lease, address, path, MAX_LIST_BYTES).await?;
    pool.clear(Target::Endpoint(EndpointId(0)));
    serde_json::from_slice(&body).ok()
}

fn apply(shared: &Shared, list: VmList) {
    let leaving: HashMap<String, bool> = (list.vms.into_iter())
        .map(|vm| (vm.name, vm.state == VmState::Leaving))
        .collect();
    let actions = shared.decide(|d, now| {
        let config = Arc::clone(&d.config);
        let mut actions = Vec::new();
        for id in config.topology.endpoint_ids() {
            let name = &config.topology.endpoints[id.index()].name;
            // A VM that is not listed says nothing: the list lags.
            let leaving = match (config.owner_of(id) == Some(d.entry), leaving.get(name)) {
                (true, Some(leaving)) => *leaving,
                _ => continue,
            };
            let reading = EndpointReading::VmList { leaving };
            actions.extend(d.admission.observe(now, id, reading));
        }
        actions
    });
    shared.run_actions(actions.unwrap_or_default());
}

/// Splits `http://ADDRESS/PATH` or `ADDRESS`.
fn split(url: &str) -> Option<(SocketAddr, String)> {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    let (address, path) = match rest.find('/') {
        Some(i) => (&rest[..i], &rest[i..]),
        None => (rest, DEFAULT_PATH),
    };
    Some((address.parse().ok()?, path.to_string()))
}

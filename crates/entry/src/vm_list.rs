//! Reads the platform's list of live and leaving VMs.

use crate::server_state::ServerState;
use mangospindle_http::ConditionalGet;
use mangospindle_quota::EndpointObservation;
use mangospindle_telemetry::event;
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the list, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Path of the list if the setting is only an address.
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

/// Reads the list periodically until the process exits. Returns immediately if the settings name no
/// list.
pub(crate) async fn run(shared: Arc<ServerState>) {
    let Some(url) = shared.settings.vm_list.clone() else {
        return;
    };
    let mut source =
        ConditionalGet::<VmList>::new(complete_url(&url), READ_TIMEOUT, MAX_LIST_BYTES);
    let mut readable = true;
    let mut ticks = tokio::time::interval(READ_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let list = source.read().await.ok();
        if list.is_some() != readable {
            readable = list.is_some();
            event!(Warn, "vm_list_readable_changed", "readable" => readable);
        }
        if let Some(list) = list {
            apply_list(&shared, list);
        }
    }
}

fn apply_list(shared: &ServerState, list: &VmList) {
    let leaving_by_name: HashMap<&str, bool> = (list.vms.iter())
        .map(|vm| (vm.name.as_str(), vm.state == VmState::Leaving))
        .collect();
    let actions = shared.with_routing(|routing, now| {
        let config = Arc::clone(&routing.config);
        let mut actions = Vec::new();
        for id in config.topology.endpoint_ids() {
            let name = &config.topology.endpoints[id.index()].name;
            // The list lags, so an endpoint that is not listed yields no observation.
            let leaving = match (
                config.owner_of(id) == Some(routing.entry),
                leaving_by_name.get(name.as_str()),
            ) {
                (true, Some(leaving)) => *leaving,
                _ => continue,
            };
            let observation = EndpointObservation::VmList { leaving };
            actions.extend(routing.admission.observe(now, id, observation));
        }
        actions
    });
    shared.run_actions(actions.unwrap_or_default());
}

/// Returns the URL of the list for a setting that may be only an address.
fn complete_url(url: &str) -> String {
    let rest = url.strip_prefix("http://").unwrap_or(url);
    match rest.contains('/') {
        true => format!("http://{rest}"),
        false => format!("http://{rest}{DEFAULT_PATH}"),
    }
}

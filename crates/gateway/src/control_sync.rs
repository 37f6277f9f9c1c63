//! Synchronization with the control replicas: receives routes and endpoints, and announces this
//! entry.

use crate::gateway::Gateway;
use mangospindle_fleet::timing::ENTRY_EXCHANGE_INTERVAL;
use mangospindle_fleet::{
    EndpointCopy, EndpointUpdate, EntryAnnouncement, ExchangeReply, ExchangeRequest, KnownVersions,
};
use mangospindle_model::RouteTable;
use mangospindle_rpc::ControlClient;
use mangospindle_telemetry::event;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Interval between exchanges while this entry has no list of endpoints.
const INITIAL_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Applies each new configuration to the dispatcher.
pub(crate) async fn apply_config_updates(gateway: Rc<Gateway>, client: ControlClient) {
    let mut updates = client.subscribe();
    // An error means that the client was dropped, which happens when the process exits.
    while updates.changed().await.is_ok() {
        let config = Arc::clone(&updates.borrow_and_update().config);
        if config.version == 0 {
            continue;
        }
        let changed = gateway.with_dispatcher(|d, now| {
            let changed = replaces(d.routes(), &config.routes);
            let routes = match changed {
                true => Arc::new(config.routes.clone()),
                false => Arc::clone(d.routes()),
            };
            d.update_routes(now, routes, config.evacuated.clone());
            changed
        });
        let current = gateway.routes().number;
        if config.routes.number < current {
            event!(Warn, "routes_ignored", "number" => config.routes.number, "current" => current,
                "version" => config.version);
        }
        if changed {
            (gateway.workspaces).update(gateway.now(), &config.routes.workspaces);
            let number = config.routes.number;
            gateway.metrics.routes_number.set(number as i64);
            event!(Info, "routes_applied", "number" => number,
                "routes" => config.routes.routes.len(), "version" => config.version);
        }
    }
}

/// Whether a table that the replicas sent takes the place of the current one. Replicas that lost their state can
/// send an older table; it must not put withdrawn keys in force again.
fn replaces(current: &RouteTable, next: &RouteTable) -> bool {
    if !current.is_set() {
        // The first table may have number 0.
        return next.is_set();
    }
    match current.workspaces.is_empty() {
        true => next.number != current.number,
        false => next.number > current.number,
    }
}

/// Periodically announces this entry to a control replica and applies the list of endpoints that it
/// returns.
pub(crate) async fn run_exchange(gateway: Rc<Gateway>, client: ControlClient) {
    let mut copy = EndpointCopy::default();
    loop {
        let request = ExchangeRequest {
            entry: Some(announcement(&gateway)),
            wants_entries: gateway.wants_peers(),
            known_list: copy.digest(),
            differences: Some(KnownVersions::default()),
        };
        let requested_at = gateway.now();
        if let Some(reply) = client.exchange(&request.encode()).await {
            match ExchangeReply::decode(&reply) {
                Ok(mut reply) => {
                    client.set_replicas(preferred_order(&gateway.settings.name, &reply.replicas));
                    if request.wants_entries {
                        let entries = std::mem::take(&mut reply.entries);
                        gateway.peers.borrow_mut().update(gateway.now(), entries);
                    }
                    apply_reply(&gateway, requested_at, reply, &mut copy);
                }
                Err(e) => event!(Warn, "exchange_failed", "reason" => e),
            }
        }
        let interval = match copy.digest() {
            0 => INITIAL_EXCHANGE_INTERVAL,
            _ => ENTRY_EXCHANGE_INTERVAL,
        };
        // A change of readiness is announced without waiting for the interval.
        let _ = tokio::time::timeout(interval, gateway.announce_now.notified()).await;
    }
}

/// Applies the list of endpoints and the number of entries in the region.
fn apply_reply(
    gateway: &Gateway,
    requested_at: Duration,
    mut reply: ExchangeReply,
    copy: &mut EndpointCopy,
) {
    let Some(age) = reply.list_age else {
        return;
    };
    // The time at which the reply was sent is unknown, so the age includes the whole round trip.
    let age = age + gateway.now().saturating_sub(requested_at);
    gateway.metrics.list_age_ms.set(age.as_millis() as i64);
    gateway.with_dispatcher(|d, now| d.update_region_entries(now, reply.region_entries));
    let update = copy.apply(requested_at, &mut reply);
    let changed = match &update {
        Ok(EndpointUpdate::Unchanged) => return,
        Ok(EndpointUpdate::Whole(list)) => {
            gateway.with_dispatcher(|d, now| d.update_endpoints(now, list));
            list
        }
        Ok(EndpointUpdate::Difference(difference)) => {
            gateway.with_dispatcher(|d, now| d.change_endpoints(now, difference));
            &difference.changed
        }
        Err(e) => {
            event!(Warn, "endpoint_difference_rejected", "reason" => e);
            return;
        }
    };
    for e in changed.iter().filter(|e| !e.cold_for.is_zero()) {
        event!(Debug, "endpoint_cold", "endpoint" => e.instance,
            "cold_ms" => e.cold_for.as_millis(), "source" => "list");
    }
    let whole = matches!(update, Ok(EndpointUpdate::Whole(_)));
    event!(Info, "endpoints_applied", "endpoints" => changed.len(), "whole" => whole,
        "age_ms" => age.as_millis(), "digest" => format!("{:016x}", copy.digest()));
}

/// The announcement of this entry in its current state.
fn announcement(gateway: &Gateway) -> EntryAnnouncement {
    let settings = &gateway.settings;
    EntryAnnouncement {
        name: settings.name.clone(),
        address: settings.public_listen,
        failure_domain: settings.dispatch.failure_domain.clone(),
        region: settings.dispatch.region().to_string(),
        incarnation: gateway.incarnation,
        accepting: gateway.is_accepting(),
    }
}

/// Orders the replicas by a hash that includes the name of this entry, so that entries spread over
/// the replicas.
fn preferred_order(name: &str, replicas: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut replicas = replicas.to_vec();
    replicas.sort_by_key(|r| xxh3_64(format!("{name}\n{r}").as_bytes()));
    replicas
}

//! Following the control replicas: routes, endpoints and the announcement of this entry.

use crate::gateway::Gateway;
use mangospindle_fleet::{EntryAnnouncement, ExchangeReply, ExchangeRequest};
use mangospindle_rpc::ControlClient;
use mangospindle_telemetry::event;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Interval between two announcements.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Interval while this entry holds no list of endpoints.
const FIRST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Takes over each configuration.
pub(crate) async fn follow_routes(gateway: Rc<Gateway>, client: ControlClient) {
    let mut views = client.subscribe();
    // An error means that the client has ended, with the process.
    while views.changed().await.is_ok() {
        let config = Arc::clone(&views.borrow_and_update().config);
        if config.version == 0 {
            continue;
        }
        let changed = gateway.dispatch(|d, now| {
            let changed = d.routes().number != config.routes.number;
            let routes = match changed {
                true => Arc::new(config.routes.clone()),
                false => Arc::clone(d.routes()),
            };
            d.update_routes(now, routes, config.evacuated.clone());
            changed
        });
        if changed {
            let number = config.routes.number;
            gateway.metrics.routes_number.set(number as i64);
            event!(Info, "routes_applied", "number" => number,
                "routes" => config.routes.routes.len(), "version" => config.version);
        }
    }
}

/// Announces this entry, and takes over the list of endpoints.
pub(crate) async fn exchange_views(gateway: Rc<Gateway>, client: ControlClient) {
    let mut known_list = 0;
    loop {
        let request = ExchangeRequest {
            entry: Some(announcement(&gateway)),
            wants_entries: false,
            known_list,
        };
        let asked_at = gateway.now();
        if let Some(reply) = client.exchange(&request.encode()).await {
            match ExchangeReply::decode(&reply) {
                Ok(reply) => {
                    client.set_replicas(ordered(&gateway.settings.name, &reply.replicas));
                    take(&gateway, asked_at, reply, &mut known_list);
                }
                Err(e) => event!(Warn, "exchange_failed", "reason" => e),
            }
        }
        let interval = match known_list {
            0 => FIRST_EXCHANGE_INTERVAL,
            _ => EXCHANGE_INTERVAL,
        };
        // A change of readiness is announced at once.
        let _ = tokio::time::timeout(interval, gateway.announce.notified()).await;
    }
}

fn take(gateway: &Gateway, asked_at: Duration, reply: ExchangeReply, known_list: &mut u64) {
    let Some(age) = reply.list_age else {
        return;
    };
    // The reply was sent no earlier than it was asked for.
    let endpoints = reply.endpoints(Duration::ZERO);
    let age = age + gateway.now().saturating_sub(asked_at);
    gateway.metrics.list_age_ms.set(age.as_millis() as i64);
    gateway.dispatch(|d, now| {
        d.update_region_entries(now, reply.region_entries);
        if let Some(endpoints) = &endpoints {
            d.update_endpoints(now, endpoints);
        }
    });
    for e in endpoints.iter().flatten().filter(|e| !e.cold_for.is_zero()) {
        event!(Debug, "endpoint_cold", "endpoint" => e.instance,
            "cold_ms" => e.cold_for.as_millis());
    }
    if let Some(list) = endpoints {
        *known_list = reply.list_digest;
        event!(Info, "endpoints_applied", "endpoints" => list.len(),
            "age_ms" => age.as_millis(), "digest" => format!("{known_list:016x}"));
    }
}

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

/// The replicas in an order of this entry's own, so that entries spread over them.
fn ordered(name: &str, replicas: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut replicas = replicas.to_vec();
    replicas.sort_by_key(|r| xxh3_64(format!("{name}\n{r}").as_bytes()));
    replicas
}

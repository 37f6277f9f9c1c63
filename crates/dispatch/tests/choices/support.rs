//! Helpers to build a dispatcher, its inputs and requests.

use mangospindle_dispatch::{DispatchSettings, Dispatcher, Request};
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::{EndpointService, RouteTable};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const NOW: Duration = ms(1_000);

pub fn record(n: u8, domain: &str) -> EndpointRecord {
    EndpointRecord {
        instance: format!("i-{n}"),
        service: "s".to_string(),
        address: ([10, 0, 0, n], 80).into(),
        failure_domain: domain.to_string(),
        slots: 3,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
    }
}

pub fn dispatcher(records: &[EndpointRecord]) -> Dispatcher {
    dispatcher_with_seed(records, 1)
}

pub fn dispatcher_with_seed(records: &[EndpointRecord], seed: u64) -> Dispatcher {
    let pairs = [("a", "north"), ("b", "north"), ("c", "south")];
    let settings = DispatchSettings {
        failure_domain: "a".to_string(),
        regions: pairs.map(|(d, r)| (d.to_string(), r.to_string())).into(),
        retry_ratio: 0.2,
        retry_slack: 12.0,
    };
    let mut dispatcher = Dispatcher::new(settings, seed);
    evacuate(&mut dispatcher, NOW, &[]);
    dispatcher.update_endpoints(NOW, records);
    dispatcher
}

pub fn evacuate(dispatcher: &mut Dispatcher, now: Duration, domains: &[&str]) {
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 330,
        cold_start: ms(3_000),
        cold_rate: 5.0,
    };
    let table = RouteTable {
        number: 1,
        services: BTreeMap::from([("s".to_string(), service)]),
        ..RouteTable::default()
    };
    let domains: BTreeSet<String> = domains.iter().map(|d| d.to_string()).collect();
    dispatcher.update_routes(now, Arc::new(table), domains);
}

pub fn request() -> Request<'static> {
    Request {
        service: "s",
        affinity: None,
        idempotent: true,
        priority: 0,
        workspace_priority: None,
        time_left: ms(2_000),
        stop_limit: None,
        target_latency: ms(1_000),
        home_regions: &[],
        tried: &[],
        repeated: false,
    }
}

use crate::fake_control::FakeControl;
use crate::fake_endpoint::FakeEndpoint;
use mangospindle_entry::EntryServer;
use mangospindle_harness::{LinkKey, Node, Proxy};
use mangospindle_model::{
    ClientRange, Endpoint, EntryId, FailureDomain, FailureDomainId, Hedging, Link, MonotonicClock,
    Profile, Region, RegionId, RequestClass, Service, ServiceId, Topology, Weights,
};
use mangospindle_settings::EntrySettings;
use mangospindle_state::{Config, EntryStatus};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest deadline of both services.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3);

/// Two entries, of which the far one owns all endpoints. A request takes two hops through the near
/// entry and one hop through the far entry.
pub struct TestCluster {
    pub near: EntryServer,
    pub far: EntryServer,
    pub endpoints: Vec<FakeEndpoint>,
    pub control: Arc<FakeControl>,
    pub config: Arc<Config>,
    pub proxy: Proxy,
}

/// Link from the near entry to the far one.
pub const NEAR_TO_FAR: LinkKey = LinkKey {
    from: Node::Entry(0),
    to: Node::Entry(1),
};

/// Starts a cluster in one failure domain. Service 0 has uploads, service 1 has at-most-once
/// actions. All endpoints serve `service`.
pub async fn start_cluster(
    service: u16,
    endpoints: usize,
    slots: u32,
    connections: u32,
) -> TestCluster {
    start_cluster_in_region(RegionId(0), service, endpoints, slots, connections).await
}

/// Starts a cluster whose far entry and endpoints are in `region`. The home region of clients is
/// region 0.
pub async fn start_cluster_in_region(
    region: RegionId,
    service: u16,
    endpoints: usize,
    slots: u32,
    connections: u32,
) -> TestCluster {
    let far_domain = FailureDomainId(region.0);
    let control = Arc::new(FakeControl::default());
    // Requests from the near entry to the far one pass through a proxy.
    let port_reservation = std::net::TcpListener::bind("127.0.0.4:0").unwrap();
    let proxy_address = port_reservation.local_addr().unwrap();
    drop(port_reservation);
    let start = |name: &str| {
        let text = format!(
            r#"{{"name":"{name}","failure_domain":"d","public_listen":"127.0.0.1:0",
            "internal_listen":"127.0.0.2:0","control":["127.0.0.1:1"],
            "address_overrides":{{"far":"{proxy_address}"}}}}"#
        );
        let settings = EntrySettings::parse(name, &text).unwrap();
        EntryServer::start(settings, Arc::new(MonotonicClock::new()), control.clone()).unwrap()
    };
    let (near, far) = (start("near"), start("far"));
    let proxy = Proxy::new().unwrap();
    proxy
        .add(
            NEAR_TO_FAR,
            proxy_address,
            far.internal_address(),
            Duration::ZERO,
        )
        .unwrap();
    let mut fake_endpoints = Vec::new();
    for _ in 0..endpoints {
        fake_endpoints.push(FakeEndpoint::start().await);
    }
    let entry = |name: &str, server: &EntryServer, domain| mangospindle_model::Entry {
        name: name.to_string(),
        failure_domain: domain,
        public_address: server.public_address(),
        internal_address: server.internal_address(),
    };
    let service_of = |name: &str, write_class| Service {
        name: name.to_string(),
        write_class,
        max_deadline: MAX_DEADLINE,
        profile: "p".to_string(),
    };
    let region = |name: &str| Region {
        name: name.to_string(),
        max_in_progress: 1000,
    };
    let domain = |name: &str, region| FailureDomain {
        name: name.to_string(),
        region: RegionId(region),
    };
    let link = |from, to| Link {
        from: RegionId(from),
        to: RegionId(to),
        bits_per_second: 8_000_000,
        latency_us: 100,
    };
    let topology = Topology {
        regions: vec![region("home"), region("other")],
        failure_domains: vec![domain("d", 0), domain("e", 1)],
        entries: vec![
            entry("near", &near, FailureDomainId(0)),
            entry("far", &far, far_domain),
        ],
        services: vec![
            service_of("files", RequestClass::Upload),
            service_of("acts", RequestClass::AtMostOnce),
        ],
        endpoints: (fake_endpoints.iter().enumerate())
            .map(|(i, fake)| Endpoint {
                name: format!("endpoint-{i}"),
                service: ServiceId(service),
                failure_domain: far_domain,
                address: fake.address,
                slots,
                max_connections: connections,
            })
            .collect(),
        links: vec![link(0, 1), link(1, 0)],
        client_ranges: vec![ClientRange {
            net: "127.0.0.0/8".parse().unwrap(),
            block_prefix: 24,
            region: RegionId(0),
        }],
    };
    let profile = Profile {
        name: "p".to_string(),
        weights: Weights {
            latency: 1.0,
            headroom: 0.5,
            drain: 0.1,
        },
        cross_region_limit: 100,
        pace_start: 0.1,
        pace_growth: 1.5,
        retry_budget: 0.2,
        hedging: Hedging::Off,
        queue_timeout: Duration::from_millis(100),
        shed_order: RequestClass::ALL.to_vec(),
    };
    let mut config = Config::bootstrap(topology, vec![profile]);
    // Only the far entry can be the preferred owner.
    config.entry_status = vec![
        EntryStatus::Leaving { incarnation: 1 },
        EntryStatus::Active { incarnation: 1 },
    ];
    let initial_config = Arc::new(config.clone());
    // The ownership is installed second. The owner has then seen the preceding state and needs
    // neither a quarantine nor a slow start.
    config.version = 2;
    for ownership in &mut config.ownership {
        ownership.owner = Some(EntryId(1));
        ownership.epoch = 2;
    }
    let config = Arc::new(config);
    for server in [&near, &far] {
        server.install(&initial_config, Duration::ZERO);
        server.install(&config, Duration::ZERO);
    }
    TestCluster {
        near,
        far,
        endpoints: fake_endpoints,
        control,
        config,
        proxy,
    }
}

impl TestCluster {
    /// Returns the public address from which a request takes `hops` hops to an endpoint.
    pub fn address(&self, hops: usize) -> SocketAddr {
        match hops {
            1 => self.far.public_address(),
            _ => self.near.public_address(),
        }
    }

    /// Returns the value of a metric of the owner, summed over its labels.
    pub async fn owner_metric(&self, name: &str) -> f64 {
        let response =
            crate::raw_response::send_request(self.far.internal_address(), "GET /metrics", "", b"")
                .await;
        let text = response.text();
        let lines = text.lines().filter(|l| l.starts_with(name));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Waits up to 4 s until a metric of the owner has the given value.
    pub async fn wait_for_metric(&self, name: &str, value: f64) {
        for _ in 0..200 {
            if self.owner_metric(name).await == value {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!(
            "{name} is {}, expected {value}",
            self.owner_metric(name).await
        );
    }
}

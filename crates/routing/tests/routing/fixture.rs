use mangospindle_model::*;
use mangospindle_state::{Config, ConfigChange, EntryStatus, Ownership, Takeover};
use std::time::Duration;

pub const READS: ServiceId = ServiceId(0);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Numbers of a generated deployment with one service.
#[derive(Clone, Copy)]
pub struct Shape {
    pub regions: u16,
    pub domains: u16,
    pub entries: u16,
    pub endpoints: u16,
}

pub fn topology(shape: Shape, ranges: &[(&str, u8, u16)]) -> Topology {
    let address = |kind: u8, i: u16| ([127, kind, (i >> 8) as u8, i as u8], 1_000).into();
    let region = |i: u16| Region {
        name: format!("r{i}"),
        max_in_progress: 1_000,
    };
    let domains = shape.regions * shape.domains;
    let domain = |i: u16| FailureDomain {
        name: format!("d{i}"),
        region: RegionId(i / shape.domains),
    };
    let entry = |i: u16| Entry {
        name: format!("n{i}"),
        failure_domain: FailureDomainId(i / shape.entries),
        public_address: address(1, i),
        internal_address: address(2, i),
    };
    let endpoint = |i: u16| Endpoint {
        name: format!("e{i}"),
        service: READS,
        failure_domain: FailureDomainId(i / (shape.entries * shape.endpoints)),
        address: address(3, i),
        slots: 3,
        max_connections: 330,
    };
    let link = |i: u16| {
        (0..shape.regions)
            .filter(move |j| *j != i)
            .map(move |j| Link {
                from: RegionId(i),
                to: RegionId(j),
                bits_per_second: 1_000_000_000,
                latency_us: 10_000 + 10_000 * u32::from(i.abs_diff(j)),
            })
    };
    let range = |(net, block_prefix, region): &(&str, u8, u16)| ClientRange {
        net: net.parse().expect("a range"),
        block_prefix: *block_prefix,
        region: RegionId(*region),
    };
    Topology {
        regions: (0..shape.regions).map(region).collect(),
        failure_domains: (0..domains).map(domain).collect(),
        entries: (0..domains * shape.entries).map(entry).collect(),
        services: vec![Service {
            name: "reads".into(),
            write_class: RequestClass::AtMostOnce,
            max_deadline: ms(2_000),
            profile: "p".into(),
        }],
        endpoints: (0..domains * shape.entries * shape.endpoints)
            .map(endpoint)
            .collect(),
        links: (0..shape.regions).flat_map(link).collect(),
        client_ranges: ranges.iter().map(range).collect(),
    }
}

pub fn profile(latency: f64, headroom: f64, drain: f64) -> Profile {
    Profile {
        name: "p".into(),
        weights: Weights {
            latency,
            headroom,
            drain,
        },
        cross_region_limit: 100,
        pace_start: 0.1,
        pace_growth: 2.0,
        retry_budget: 0.1,
        hedging: Hedging::After { delay: ms(20) },
        queue_timeout: ms(100),
        shed_order: RequestClass::ALL.to_vec(),
    }
}

/// Every entry is active and owns its share of the endpoints of its failure domain.
pub fn config(shape: Shape, ranges: &[(&str, u8, u16)], profile: Profile) -> Config {
    let topology = topology(shape, ranges);
    topology.validate().expect("a valid topology");
    let mut config = Config::bootstrap(topology, vec![profile]);
    for i in 0..config.topology.entries.len() as u16 {
        set_status(&mut config, i, EntryStatus::Active { incarnation: 1 });
    }
    for i in 0..config.topology.endpoints.len() as u32 {
        set_owner(&mut config, i, (i / u32::from(shape.endpoints)) as u16);
    }
    config
}

pub fn set_status(config: &mut Config, entry: u16, status: EntryStatus) {
    config.apply(&ConfigChange::SetEntryStatus(EntryId(entry), status));
}

pub fn set_owner(config: &mut Config, endpoint: u32, entry: u16) {
    let (owner, takeover) = (Some(EntryId(entry)), Takeover::Clean);
    let ownership = Ownership {
        owner,
        epoch: 1,
        takeover,
    };
    config.apply(&ConfigChange::SetOwnership(EndpointId(endpoint), ownership));
}

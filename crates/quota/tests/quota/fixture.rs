use mangospindle_model::*;
use mangospindle_state::{
    Config, ConfigChange, EntryStatus, Ownership, Takeover, VersionedProfile, preferred_owner,
};
use std::time::Duration;

pub const HOME: RegionId = RegionId(0);
pub const AWAY: RegionId = RegionId(1);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn profile(cross_region_limit: u32, pace_start: f64) -> Profile {
    Profile {
        name: "p".into(),
        weights: Weights {
            latency: 1.0,
            headroom: 1.0,
            drain: 1.0,
        },
        cross_region_limit,
        pace_start,
        pace_growth: 2.0,
        retry_budget: 0.1,
        hedging: Hedging::Off,
        queue_timeout: ms(400),
        shed_order: RequestClass::ALL.to_vec(),
    }
}

pub fn endpoint(number: usize, service: u16, domain: u16) -> Endpoint {
    Endpoint {
        name: format!("e{number}"),
        service: ServiceId(service),
        failure_domain: FailureDomainId(domain),
        address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
        slots: 3,
        max_connections: 5,
    }
}

/// Region 0 has `entries` entries in two failure domains and `per_service` endpoints for each of
/// two services; region 1 is the home of other clients.
pub fn config(entries: u16, per_service: usize, limit: u32, profile: Profile) -> Config {
    let region = |name: &str, max_in_progress| Region {
        name: name.into(),
        max_in_progress,
    };
    let domain = |name: &str, region| FailureDomain {
        name: name.into(),
        region,
    };
    let entry = |i: u16| Entry {
        name: format!("n{i}"),
        failure_domain: FailureDomainId(i % 2),
        public_address: ([127, 0, 0, 1], 20_000 + i).into(),
        internal_address: ([127, 0, 0, 1], 30_000 + i).into(),
    };
    let service = |i: u64| Service {
        name: format!("s{i}"),
        write_class: RequestClass::Upload,
        max_deadline: ms(1_000 + 1_500 * i),
        profile: "p".into(),
    };
    let link = |from, to| Link {
        from,
        to,
        bits_per_second: 80_000_000,
        latency_us: 20_000,
    };
    let topology = Topology {
        regions: vec![region("home", limit), region("away", 100)],
        failure_domains: vec![domain("a", HOME), domain("b", HOME), domain("c", AWAY)],
        entries: (0..entries).map(entry).collect(),
        services: (0..2).map(service).collect(),
        endpoints: (0..2 * per_service)
            .map(|i| endpoint(i, i as u16 % 2, (i / 2) as u16 % 2))
            .collect(),
        links: vec![link(HOME, AWAY), link(AWAY, HOME)],
        client_ranges: Vec::new(),
    };
    topology.validate().expect("a valid topology");
    let mut config = Config::bootstrap(topology, vec![profile]);
    for i in 0..entries {
        config.apply(&active(EntryId(i), 1));
    }
    for id in config.topology.endpoint_ids().collect::<Vec<_>>() {
        let change = next_owner(&config, id, Takeover::Clean);
        config.apply(&change);
    }
    config
}

pub fn active(entry: EntryId, incarnation: u64) -> ConfigChange {
    ConfigChange::SetEntryStatus(entry, EntryStatus::Active { incarnation })
}

pub fn next_owner(config: &Config, id: EndpointId, takeover: Takeover) -> ConfigChange {
    let owner = preferred_owner(config, id);
    let epoch = config.ownership[id.index()].epoch + 1;
    ConfigChange::SetOwnership(
        id,
        Ownership {
            owner,
            epoch,
            takeover,
        },
    )
}

pub fn put_profile(profile: Profile) -> ConfigChange {
    ConfigChange::PutProfile(VersionedProfile {
        version: 2,
        profile,
    })
}

//! Topologies and configurations for the tests and benchmarks of the routing and quota crates.

use mangospindle_model::*;
use mangospindle_state::{
    Config, ConfigChange, EntryStatus, Ownership, Takeover, VersionedProfile, preferred_owner,
};
use std::{net::SocketAddr, time::Duration};

pub const SERVICE: ServiceId = ServiceId(0);
pub const HOME: RegionId = RegionId(0);
pub const REMOTE: RegionId = RegionId(1);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// For each region, the numbers of entries and endpoints of each of its failure domains.
pub type TopologyShape = Vec<Vec<(u16, u16)>>;

/// Identical regions with identical failure domains.
pub fn uniform_shape(
    regions: usize,
    domains: usize,
    entries: u16,
    endpoints_per_entry: u16,
) -> TopologyShape {
    vec![vec![(entries, entries * endpoints_per_entry); domains]; regions]
}

fn address(kind: u8, i: usize) -> SocketAddr {
    ([127, kind, (i >> 8) as u8, i as u8], 1_000).into()
}

pub fn entry(i: usize, failure_domain: FailureDomainId) -> Entry {
    let (public_address, internal_address) = (address(1, i), address(2, i));
    let name = format!("n{i}");
    Entry {
        name,
        failure_domain,
        public_address,
        internal_address,
    }
}

pub fn endpoint(i: usize, service: u16, failure_domain: FailureDomainId) -> Endpoint {
    let (name, service, address) = (format!("e{i}"), ServiceId(service), address(3, i));
    Endpoint {
        name,
        service,
        failure_domain,
        address,
        slots: 3,
        max_connections: 5,
    }
}

/// Builds a topology. Endpoints are assigned to the services in turn. `ranges` are client ranges
/// with their block prefix length and region.
pub fn topology(shape: &TopologyShape, services: u16, ranges: &[(&str, u8, u16)]) -> Topology {
    let mut t = Topology::default();
    for (r, domains) in shape.iter().enumerate() {
        t.regions.push(Region {
            name: format!("r{r}"),
            max_in_progress: 1_000,
        });
        for (entries, endpoints) in domains {
            let id = FailureDomainId(t.failure_domains.len() as u16);
            let (name, region) = (format!("d{id}"), RegionId(r as u16));
            t.failure_domains.push(FailureDomain { name, region });
            for _ in 0..*entries {
                t.entries.push(entry(t.entries.len(), id));
            }
            for _ in 0..*endpoints {
                let i = t.endpoints.len();
                t.endpoints.push(endpoint(i, i as u16 % services, id));
            }
        }
        for other in (0..shape.len()).filter(|o| *o != r) {
            let (from, to) = (RegionId(r as u16), RegionId(other as u16));
            let latency_us = 10_000 + 10_000 * r.abs_diff(other) as u32;
            t.links.push(Link {
                from,
                to,
                bits_per_second: 80_000_000,
                latency_us,
            });
        }
    }
    for i in 0..u64::from(services) {
        let (name, profile) = (format!("s{i}"), "p".to_string());
        let (write_class, max_deadline) = (RequestClass::Upload, ms(1_000 + 1_500 * i));
        t.services.push(Service {
            name,
            write_class,
            max_deadline,
            profile,
        });
    }
    for (net, block_prefix, region) in ranges {
        let (net, region) = (net.parse().expect("valid client range"), RegionId(*region));
        t.client_ranges.push(ClientRange {
            net,
            block_prefix: *block_prefix,
            region,
        });
    }
    t.validate().expect("valid topology");
    t
}

pub fn profile(cross_region_limit: u32, pace_start: f64) -> Profile {
    Profile {
        name: "p".into(),
        weights: Weights {
            latency: 1.0,
            headroom: 0.0,
            drain: 0.0,
        },
        cross_region_limit,
        pace_start,
        pace_growth: 2.0,
        retry_budget: 0.1,
        hedging: Hedging::After { delay: ms(20) },
        queue_timeout: ms(400),
        shed_order: RequestClass::ALL.to_vec(),
    }
}

/// A configuration in which all entries are active and each endpoint has its preferred owner.
pub fn config(topology: Topology, profile: Profile) -> Config {
    let mut config = Config::bootstrap(topology, vec![profile]);
    for entry in config.topology.entry_ids() {
        config.apply(&set_active(entry, 1));
    }
    for id in config.topology.endpoint_ids() {
        config.apply(&assign_preferred_owner(&config, id, Takeover::Clean));
    }
    config
}

pub fn set_active(entry: EntryId, incarnation: u64) -> ConfigChange {
    ConfigChange::SetEntryStatus(entry, EntryStatus::Active { incarnation })
}

pub fn set_leaving(entry: u16) -> ConfigChange {
    ConfigChange::SetEntryStatus(EntryId(entry), EntryStatus::Leaving { incarnation: 1 })
}

pub fn set_fenced(entry: u16) -> ConfigChange {
    ConfigChange::SetEntryStatus(EntryId(entry), EntryStatus::Fenced)
}

pub fn set_drain(endpoint: u32, drain: bool) -> ConfigChange {
    ConfigChange::SetEndpointDrain(EndpointId(endpoint), drain)
}

pub fn set_owner(
    id: EndpointId,
    owner: Option<EntryId>,
    epoch: u64,
    takeover: Takeover,
) -> ConfigChange {
    ConfigChange::SetOwnership(
        id,
        Ownership {
            owner,
            epoch,
            takeover,
        },
    )
}

pub fn assign_preferred_owner(config: &Config, id: EndpointId, takeover: Takeover) -> ConfigChange {
    let owner = preferred_owner(config, id);
    set_owner(id, owner, config.ownership[id.index()].epoch + 1, takeover)
}

pub fn put_profile(profile: Profile) -> ConfigChange {
    ConfigChange::PutProfile(VersionedProfile {
        version: 2,
        profile,
    })
}

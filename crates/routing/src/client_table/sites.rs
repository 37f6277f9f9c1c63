use mangospindle_model::{FailureDomainId, RegionId, Topology, rendezvous_score};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The sites that blocks can prefer.
#[derive(Clone, Debug)]
pub(super) struct Sites {
    /// Sites of each region, in the order of the topology.
    by_region: Vec<Vec<FailureDomainId>>,
    /// All sites with their regions.
    all: Vec<(FailureDomainId, RegionId)>,
}

impl Sites {
    /// The failure domains that have entries; all failure domains if none has.
    pub(super) fn new(topology: &Topology) -> Self {
        let ids = || (0..topology.failure_domains.len() as u16).map(FailureDomainId);
        let mut has_entry = vec![false; topology.failure_domains.len()];
        for entry in &topology.entries {
            has_entry[entry.failure_domain.index()] = true;
        }
        let mut usable: Vec<_> = ids().filter(|d| has_entry[d.index()]).collect();
        if usable.is_empty() {
            usable = ids().collect();
        }
        let all: Vec<_> = (usable.iter())
            .map(|&d| (d, topology.region_of(d)))
            .collect();
        let of_region = |region: usize| {
            let sites = all.iter().filter(|(_, r)| r.index() == region);
            sites.map(|(d, _)| *d).collect()
        };
        Sites {
            by_region: (0..topology.regions.len()).map(of_region).collect(),
            all,
        }
    }

    /// Key of the block that contains `address`, for rendezvous hashing.
    pub(super) fn block_key(address: u128, bits: u8, block_prefix: u8) -> u64 {
        let host_bits = u32::from(bits - block_prefix);
        let start = address.checked_shr(host_bits).unwrap_or(0);
        xxh3_64_with_seed(&start.to_be_bytes(), u64::from(block_prefix))
    }

    /// The preferred site of a block in a region. A region without sites uses all sites.
    pub(super) fn in_region(&self, block: u64, region: RegionId) -> FailureDomainId {
        let sites = self.by_region.get(region.index());
        let best = sites.and_then(|s| s.iter().max_by_key(|s| score(block, **s)));
        best.copied().unwrap_or_else(|| self.anywhere(block).0)
    }

    /// The preferred site of a block among all sites, with its region.
    pub(super) fn anywhere(&self, block: u64) -> (FailureDomainId, RegionId) {
        let best = self.all.iter().max_by_key(|(site, _)| score(block, *site));
        best.copied().unwrap_or_default()
    }
}

fn score(block: u64, site: FailureDomainId) -> (u64, FailureDomainId) {
    (rendezvous_score(block, u64::from(site.0)), site)
}

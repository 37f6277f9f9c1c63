use mangospindle_model::{FailureDomainId, RegionId, Topology, rendezvous_score};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The failure domains that can be preferred by a block of client addresses.
#[derive(Clone, Debug)]
pub(super) struct CandidateDomains {
    /// Candidates of each region, in topology order.
    by_region: Vec<Vec<FailureDomainId>>,
    /// All usable with their regions.
    all: Vec<(FailureDomainId, RegionId)>,
}

impl CandidateDomains {
    /// Collects the failure domains that have entries, or all failure domains if none has entries.
    pub(super) fn new(topology: &Topology) -> Self {
        let ids = || (0..topology.failure_domains.len() as u16).map(FailureDomainId);
        let mut has_entries = vec![false; topology.failure_domains.len()];
        for entry in &topology.entries {
            has_entries[entry.failure_domain.index()] = true;
        }
        let mut usable: Vec<_> = ids().filter(|d| has_entries[d.index()]).collect();
        if usable.is_empty() {
            usable = ids().collect();
        }
        let all: Vec<_> = (usable.iter())
            .map(|&d| (d, topology.region_of(d)))
            .collect();
        let in_region = |region: usize| {
            let domains = all.iter().filter(|(_, r)| r.index() == region);
            domains.map(|(d, _)| *d).collect()
        };
        CandidateDomains {
            by_region: (0..topology.regions.len()).map(in_region).collect(),
            all,
        }
    }

    /// Rendezvous hash key of the block that contains `address`.
    pub(super) fn block_key(address: u128, bits: u8, block_prefix: u8) -> u64 {
        let host_bits = u32::from(bits - block_prefix);
        let prefix_bits = address.checked_shr(host_bits).unwrap_or(0);
        xxh3_64_with_seed(&prefix_bits.to_be_bytes(), u64::from(block_prefix))
    }

    /// Preferred failure domain of a block in a region. All usable are considered if the region
    /// has none.
    pub(super) fn preferred_in_region(&self, block: u64, region: RegionId) -> FailureDomainId {
        let domains = self.by_region.get(region.index());
        let best = domains.and_then(|s| s.iter().max_by_key(|s| score(block, **s)));
        best.copied()
            .unwrap_or_else(|| self.preferred_overall(block).0)
    }

    /// Preferred failure domain of a block among all usable, with its region.
    pub(super) fn preferred_overall(&self, block: u64) -> (FailureDomainId, RegionId) {
        let best = self
            .all
            .iter()
            .max_by_key(|(domain, _)| score(block, *domain));
        best.copied().unwrap_or_default()
    }
}

fn score(block: u64, domain: FailureDomainId) -> (u64, FailureDomainId) {
    (rendezvous_score(block, u64::from(domain.0)), domain)
}

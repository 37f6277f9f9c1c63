use mangospindle_model::{EntryId, RegionId, Topology};

/// The entries of each region and the latencies between regions.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions {
    latency_us: Vec<u32>,
    nearest: Vec<Vec<RegionId>>,
    entries: Vec<Vec<EntryId>>,
}

impl Regions {
    /// One-way latency assumed between entries of the same region, in microseconds.
    const LOCAL_LATENCY_US: u32 = 500;
    /// One-way latency assumed between regions without a configured link, in microseconds.
    const DEFAULT_LATENCY_US: u32 = 100_000;

    pub(super) fn new(topology: &Topology) -> Self {
        let n = topology.regions.len();
        let mut latency_us = vec![Self::DEFAULT_LATENCY_US; n * n];
        for region in 0..n {
            latency_us[region * n + region] = Self::LOCAL_LATENCY_US;
        }
        for link in &topology.links {
            latency_us[link.from.index() * n + link.to.index()] = link.latency_us;
        }
        let mut entries = vec![Vec::new(); n];
        for entry in topology.entry_ids() {
            entries[topology.entry_region(entry).index()].push(entry);
        }
        let mut regions = Regions {
            latency_us,
            nearest: Vec::new(),
            entries,
        };
        let ids = || (0..n as u16).map(RegionId);
        regions.nearest = ids()
            .map(|from| {
                let mut others: Vec<_> = ids().filter(|r| *r != from).collect();
                others.sort_by_key(|to| regions.round_trip_us(from, *to));
                others
            })
            .collect();
        regions
    }

    /// Round-trip time between two regions in microseconds, from the configured latencies.
    pub(super) fn round_trip_us(&self, from: RegionId, to: RegionId) -> u32 {
        let n = self.entries.len();
        let one_way = |a: RegionId, b: RegionId| {
            (self.latency_us.get(a.index() * n + b.index()))
                .map_or(Self::DEFAULT_LATENCY_US, |l| *l)
        };
        one_way(from, to).saturating_add(one_way(to, from))
    }

    /// The other regions, nearest first.
    pub(super) fn nearest(&self, from: RegionId) -> &[RegionId] {
        self.nearest.get(from.index()).map_or(&[], Vec::as_slice)
    }

    /// The entries of a region.
    pub(super) fn entries(&self, region: RegionId) -> &[EntryId] {
        self.entries.get(region.index()).map_or(&[], Vec::as_slice)
    }
}

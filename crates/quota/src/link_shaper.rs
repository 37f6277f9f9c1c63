use crate::LinkGrant;
use crate::share_history::ShareHistory;
use crate::token_bucket::TokenBucket;
use mangospindle_model::{EntryId, RegionId};
use mangospindle_state::{Config, EntryStatus};
use std::collections::HashMap;
use std::time::Duration;

/// Paces the bytes that an entry sends to other regions.
///
/// The entries of the sending region divide a link's capacity equally, except for the fraction that
/// is reserved for control traffic. All entries of the topology count, except fenced ones. An entry
/// that was just added, or was fenced before, may not be counted by the others yet. It sends
/// nothing until they have the configuration.
///
/// An entry sends at most one [`LinkShaper::BURST`] ahead of its rate. The sum over all entries
/// therefore exceeds the capacity of the link in no window of [`LinkShaper::WINDOW`] or longer.
#[derive(Debug)]
pub struct LinkShaper {
    entry: EntryId,
    version: u64,
    /// Whether the last configuration counts this entry among those that divide the links.
    counted: bool,
    /// Time from which the other entries count this one.
    ready_at: Duration,
    /// Token buckets of the links, by the receiving region.
    links: HashMap<RegionId, TokenBucket>,
}

impl LinkShaper {
    /// Fraction of each link's capacity that is reserved for control traffic.
    pub const CONTROL_FRACTION: f64 = 0.02;
    /// Size of a burst, as the time to send it at the entry's rate.
    pub const BURST: Duration = Duration::from_millis(10);
    /// Shortest window in which the sum over all entries never exceeds the link's capacity. The
    /// reserved fraction of 2% compensates for the bursts of 10 ms after 490 ms.
    pub const WINDOW: Duration = Duration::from_millis(500);

    /// Creates the shaper of an entry. It grants nothing before the first configuration.
    pub fn new(entry: EntryId) -> Self {
        LinkShaper {
            entry,
            version: 0,
            counted: false,
            ready_at: Duration::ZERO,
            links: HashMap::new(),
        }
    }

    /// Applies the links and entries of a configuration. A version that is not newer than the
    /// applied one is ignored. The first configuration should be from before the entry joined.
    pub fn update_config(&mut self, now: Duration, config: &Config) {
        let topology = &config.topology;
        let Some(own_status) = config.entry_status.get(self.entry.index()) else {
            return;
        };
        if config.version <= self.version {
            return;
        }
        // The others already count an entry that joined before its first configuration. An entry
        // that has not joined may be as new as the configuration.
        let joined = matches!(
            own_status,
            EntryStatus::Active { .. } | EntryStatus::Leaving { .. }
        );
        let known_to_others = self.counted || (self.version == 0 && joined);
        if !known_to_others {
            self.ready_at = now + ShareHistory::MAX_PROPAGATION_DELAY;
        }
        self.counted = !matches!(own_status, EntryStatus::Fenced);
        self.version = config.version;
        let region = topology.entry_region(self.entry);
        let fenced = |e: &EntryId| matches!(config.entry_status[e.index()], EntryStatus::Fenced);
        let entries = (topology.entry_ids())
            .filter(|e| topology.entry_region(*e) == region && !fenced(e))
            .count();
        for link in topology.links.iter().filter(|l| l.from == region) {
            let bytes_per_second = link.bits_per_second as f64 / 8.0;
            let rate = bytes_per_second * (1.0 - Self::CONTROL_FRACTION) / entries.max(1) as f64;
            let bucket = self.links.entry(link.to).or_insert(TokenBucket::new(now));
            bucket.set_rate(now, rate, Self::BURST);
        }
    }

    /// Reserves up to `bytes` bytes on the link to the region `to`. Returns `None` if the entry may
    /// not use such a link now; try again later.
    pub fn reserve(&mut self, now: Duration, to: RegionId, bytes: u64) -> Option<LinkGrant> {
        if !self.counted || now < self.ready_at {
            return None;
        }
        self.links.get_mut(&to).map(|b| b.reserve(now, bytes))
    }
}

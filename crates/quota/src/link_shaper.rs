use crate::LinkGrant;
use crate::share_history::ShareHistory;
use crate::token_bucket::TokenBucket;
use mangospindle_model::{EntryId, RegionId};
use mangospindle_state::{Config, EntryStatus};
use std::collections::HashMap;
use std::time::Duration;

/// Paces the bytes that an entry sends to other regions.
///
/// Each entry of the sending region has an equal part of a link's capacity, less the share that is
/// kept for control traffic. All entries of the topology count, except fenced ones. An entry that
/// the others may not count yet, because it was just added or was fenced before, sends nothing
/// until they have its configuration.
///
/// An entry sends at most [`LinkShaper::BURST`] of its rate ahead of its rate, so that the sum over
/// all entries exceeds the link in no window of [`LinkShaper::WINDOW`] or longer.
#[derive(Debug)]
pub struct LinkShaper {
    entry: EntryId,
    version: u64,
    counted: bool,
    ready_at: Duration,
    links: HashMap<RegionId, TokenBucket>,
}

impl LinkShaper {
    /// Share of each link that is kept for control traffic.
    pub const CONTROL_FRACTION: f64 = 0.02;
    /// Burst, as the time in which an entry sends it at its rate.
    pub const BURST: Duration = Duration::from_millis(10);
    /// Shortest window in which the sum over all entries is bounded by the link's capacity: the
    /// control share of 2% makes up for the bursts of 10 ms after 490 ms.
    pub const WINDOW: Duration = Duration::from_millis(500);

    /// Creates the shaper of an entry. Without a configuration, it grants nothing.
    pub fn new(entry: EntryId) -> Self {
        LinkShaper {
            entry,
            version: 0,
            counted: false,
            ready_at: Duration::ZERO,
            links: HashMap::new(),
        }
    }

    /// Takes links and entries from a configuration; lower versions are ignored. The first one
    /// should be from before the entry joined.
    pub fn update_config(&mut self, now: Duration, config: &Config) {
        let topology = &config.topology;
        let Some(own) = config.entry_status.get(self.entry.index()) else {
            return;
        };
        if config.version <= self.version {
            return;
        }
        // An entry that has joined before its first configuration is counted by the others. One
        // that has not may be as new as the configuration.
        let joined = matches!(
            own,
            EntryStatus::Active { .. } | EntryStatus::Leaving { .. }
        );
        let known_to_others = self.counted || (self.version == 0 && joined);
        if !known_to_others {
            self.ready_at = now + ShareHistory::SPREAD;
        }
        self.counted = !matches!(own, EntryStatus::Fenced);
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

    /// Reserves up to `bytes` bytes to the region `to`. `None` if the entry has no part of a link
    /// to this region now; ask again later.
    pub fn reserve(&mut self, now: Duration, to: RegionId, bytes: u64) -> Option<LinkGrant> {
        if !self.counted || now < self.ready_at {
            return None;
        }
        self.links.get_mut(&to).map(|b| b.reserve(now, bytes))
    }
}

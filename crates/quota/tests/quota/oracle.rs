use crate::fixture::{HOME, ms};
use mangospindle_model::{EndpointId, EntryId, RegionId, ServiceId};
use mangospindle_state::Config;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Longest deadline in the fixture, after which nothing that was admitted runs.
const LONGEST: Duration = Duration::from_millis(2_500);
/// Longest delivery of a configuration to an owner that is not cut off.
pub const DELIVERY: Duration = Duration::from_millis(4_000);

/// Counts what really runs, independently of the owners.
#[derive(Default)]
pub struct Oracle {
    /// Every accepted configuration with the time of its acceptance.
    pub accepted: Vec<(Duration, Arc<Config>)>,
    running: HashMap<EndpointId, u32>,
    /// Open connections of each entry to each endpoint.
    pub connections: HashMap<(EntryId, EndpointId), u32>,
    admissions: HashMap<(ServiceId, RegionId), Vec<Duration>>,
    pub dispatched: u64,
}

impl Oracle {
    pub fn newest(&self) -> &Arc<Config> {
        &self.accepted.last().expect("a configuration").1
    }

    /// The largest value of a limit in force during the last `back`.
    fn largest<F>(&self, now: Duration, back: Duration, limit: F) -> u32
    where
        F: Fn(&Config) -> u32,
    {
        let from = now.saturating_sub(back);
        let first = self
            .accepted
            .partition_point(|(t, _)| *t <= from)
            .saturating_sub(1);
        self.accepted[first..]
            .iter()
            .map(|(_, c)| limit(c))
            .max()
            .expect("a configuration")
    }

    /// Checks all limits after a dispatch. The region limit is only exact if configurations are
    /// delivered in time.
    pub fn dispatch(&mut self, now: Duration, id: EndpointId, home: RegionId, delivered: bool) {
        self.dispatched += 1;
        let config = self.newest().clone();
        let item = &config.topology.endpoints[id.index()];
        let running = self.running.entry(id).or_default();
        *running += 1;
        assert!(
            *running <= item.slots,
            "endpoint {id} has {running} requests at {now:?}"
        );
        let total: u32 = self.running.values().sum();
        let back = LONGEST + DELIVERY + ms(100);
        let limit = self.largest(now, back, |c| c.topology.regions[0].max_in_progress);
        assert!(
            !delivered || total <= limit,
            "the region has {total} of {limit} at {now:?}"
        );
        if home == HOME {
            return;
        }
        let admissions = self.admissions.entry((item.service, home)).or_default();
        admissions.push(now);
        let count = admissions.iter().filter(|t| now < **t + ms(1_000)).count();
        let limit = self.largest(now, ms(1_000) + DELIVERY, |c| {
            c.profile_of(item.service)
                .map_or(0, |p| p.cross_region_limit)
        });
        assert!(
            count as u32 <= limit,
            "{count} of {limit} cross-region admissions at {now:?}"
        );
    }

    pub fn end(&mut self, endpoint: EndpointId) {
        *self.running.get_mut(&endpoint).expect("a running request") -= 1;
    }

    pub fn connection_opened(&mut self, entry: EntryId, endpoint: EndpointId) {
        *self.connections.entry((entry, endpoint)).or_default() += 1;
        let open = self.connections.iter().filter(|(k, _)| k.1 == endpoint);
        let open: u32 = open.map(|(_, n)| n).sum();
        let most = self.newest().topology.endpoints[endpoint.index()].max_connections;
        assert!(open <= most, "endpoint {endpoint} has {open} connections");
    }
}

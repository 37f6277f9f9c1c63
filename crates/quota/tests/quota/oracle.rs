use crate::fixture::{HOME, ms};
use mangospindle_model::{EndpointId, EntryId, RegionId, ServiceId};
use mangospindle_state::Config;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Longest deadline in the fixture. No admitted request runs for longer.
const MAX_DEADLINE: Duration = Duration::from_millis(2_500);
/// Maximum delay of a configuration on the way to an owner that is not cut off.
pub const MAX_DELIVERY_DELAY: Duration = Duration::from_millis(4_000);

/// Checks the limits against the requests that actually run, independently of the owners' state.
#[derive(Default)]
pub struct Oracle {
    /// All accepted configurations with the times of their acceptance.
    pub accepted: Vec<(Duration, Arc<Config>)>,
    running: HashMap<EndpointId, u32>,
    /// Open connections of each entry to each endpoint.
    pub connections: HashMap<(EntryId, EndpointId), u32>,
    admissions: HashMap<(ServiceId, RegionId), Vec<Duration>>,
    pub dispatch_count: u64,
}

impl Oracle {
    pub fn newest(&self) -> &Arc<Config> {
        &self.accepted.last().expect("a configuration").1
    }

    /// The largest value of a limit that was in force during the last `lookback`.
    fn max_limit<F>(&self, now: Duration, lookback: Duration, limit: F) -> u32
    where
        F: Fn(&Config) -> u32,
    {
        let from = now.saturating_sub(lookback);
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

    /// Records a dispatch and checks all limits. The region limit is only checked if the delivery
    /// of configurations is bounded.
    pub fn record_dispatch(
        &mut self,
        now: Duration,
        id: EndpointId,
        home: RegionId,
        delivery_is_bounded: bool,
    ) {
        self.dispatch_count += 1;
        let config = self.newest().clone();
        let definition = &config.topology.endpoints[id.index()];
        let running = self.running.entry(id).or_default();
        *running += 1;
        assert!(
            *running <= definition.slots,
            "endpoint {id} has {running} requests in progress at {now:?}"
        );
        let total: u32 = self.running.values().sum();
        let lookback = MAX_DEADLINE + MAX_DELIVERY_DELAY + ms(100);
        let limit = self.max_limit(now, lookback, |c| c.topology.regions[0].max_in_progress);
        assert!(
            !delivery_is_bounded || total <= limit,
            "the region has {total} requests in progress at {now:?}, the limit is {limit}"
        );
        if home == HOME {
            return;
        }
        let admissions = self
            .admissions
            .entry((definition.service, home))
            .or_default();
        admissions.push(now);
        let count = admissions.iter().filter(|t| now < **t + ms(1_000)).count();
        let limit = self.max_limit(now, ms(1_000) + MAX_DELIVERY_DELAY, |c| {
            c.profile_of(definition.service)
                .map_or(0, |p| p.cross_region_limit)
        });
        assert!(
            count as u32 <= limit,
            "{count} cross-region admissions in one second at {now:?}, the limit is {limit}"
        );
    }

    pub fn record_end(&mut self, endpoint: EndpointId) {
        *self.running.get_mut(&endpoint).expect("a running request") -= 1;
    }

    pub fn record_connection(&mut self, entry: EntryId, endpoint: EndpointId) {
        *self.connections.entry((entry, endpoint)).or_default() += 1;
        let open = self.connections.iter().filter(|(k, _)| k.1 == endpoint);
        let open: u32 = open.map(|(_, n)| n).sum();
        let max_open = self.newest().topology.endpoints[endpoint.index()].max_connections;
        assert!(
            open <= max_open,
            "endpoint {endpoint} has {open} open connections"
        );
    }
}

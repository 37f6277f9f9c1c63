use super::{MAX_LOOKUP_ENTRIES, Router};
use crate::ClientHome;
use mangospindle_model::{EntryId, RegionId, ServiceId, rendezvous_score};
use mangospindle_state::EntryStatus;

/// Most entries of the preferred failure domain. The rest of the list is outside it, so that the
/// caller has an entry left when the failure domain fails.
const MAX_PREFERRED: usize = 3;
/// Most entries of the home region, for the same reason.
const MAX_HOME: usize = 5;

impl Router {
    /// Lookup order without bounds on empty lists: entries that pass `filter`.
    fn ordered<F>(&self, client: &ClientHome, service: ServiceId, filter: F) -> Vec<EntryId>
    where
        F: Fn(EntryId) -> bool,
    {
        let topology = &self.config.topology;
        let domain_of = |e: EntryId| topology.entries[e.index()].failure_domain;
        let group = |region: RegionId, preferred: Option<bool>| {
            let matches = |e: &EntryId| {
                preferred.is_none_or(|p| (domain_of(*e) == client.preferred_domain) == p)
                    && filter(*e)
            };
            let mut found: Vec<EntryId> = (self.regions.entries(region).iter().copied())
                .filter(matches)
                .collect();
            found.sort_by_cached_key(|e| {
                std::cmp::Reverse(rendezvous_score(client.block, u64::from(e.0)))
            });
            found
        };
        let mut list = group(client.region, Some(true));
        let mut spare = list.split_off(list.len().min(MAX_PREFERRED));
        let mut home = group(client.region, Some(false));
        spare.extend(home.split_off(home.len().min(MAX_HOME - list.len())));
        list.extend(home);
        for region in self.remote_regions(client.region, service) {
            if list.len() >= MAX_LOOKUP_ENTRIES {
                break;
            }
            list.extend(group(region, None));
        }
        list.extend(spare);
        list.truncate(MAX_LOOKUP_ENTRIES);
        list
    }

    /// Other regions by latency; of equally near ones, those that can serve the service first.
    fn remote_regions(&self, home: RegionId, service: ServiceId) -> Vec<RegionId> {
        let mut regions = self.regions.nearest(home).to_vec();
        let serves = |region: RegionId| {
            (self.services.get(service.index()))
                .is_some_and(|s| s.owners.iter().any(|o| o.region == region))
        };
        regions.sort_by_key(|r| (self.regions.round_trip_us(home, *r), !serves(*r)));
        regions
    }

    pub(super) fn lookup_entries(&self, client: &ClientHome, service: ServiceId) -> Vec<EntryId> {
        let status = |e: EntryId| self.config.entry_status[e.index()];
        let responsive = |e: EntryId| e == self.entry || !self.is_unresponsive(e);
        let active = |e: EntryId| matches!(status(e), EntryStatus::Active { .. });
        let leaving = |e: EntryId| matches!(status(e), EntryStatus::Leaving { .. });
        // A list of doubtful entries is better than none: the observations may be wrong.
        let mut list = self.ordered(client, service, |e| active(e) && responsive(e));
        if list.is_empty() {
            list = self.ordered(client, service, active);
        }
        if list.is_empty() {
            list = self.ordered(client, service, leaving);
        }
        if list.is_empty() {
            list = self.ordered(client, service, |_| true);
        }
        if list.is_empty() {
            list.push(self.entry);
        }
        list
    }
}

use super::{MAX_LOOKUP_ENTRIES, Router};
use crate::ClientHome;
use mangospindle_model::{EntryId, RegionId, ServiceId, rendezvous_score};
use mangospindle_state::EntryStatus;

/// Maximum number of entries of the preferred failure domain at the front of a lookup list. Entries
/// outside it follow, so that a client still has an entry if the failure domain fails.
const MAX_PREFERRED_DOMAIN_ENTRIES: usize = 3;
/// Maximum number of entries of the home region at the front of a lookup list, for the same reason.
const MAX_HOME_REGION_ENTRIES: usize = 5;

impl Router {
    /// Entries that pass `filter`, in lookup order. The list can be empty.
    fn ordered_entries<F>(&self, client: &ClientHome, service: ServiceId, filter: F) -> Vec<EntryId>
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
        let mut selected = group(client.region, Some(true));
        let mut overflow = selected.split_off(selected.len().min(MAX_PREFERRED_DOMAIN_ENTRIES));
        let mut home = group(client.region, Some(false));
        overflow.extend(home.split_off(home.len().min(MAX_HOME_REGION_ENTRIES - selected.len())));
        selected.extend(home);
        for region in self.remote_regions(client.region, service) {
            if selected.len() >= MAX_LOOKUP_ENTRIES {
                break;
            }
            selected.extend(group(region, None));
        }
        selected.extend(overflow);
        selected.truncate(MAX_LOOKUP_ENTRIES);
        selected
    }

    /// Other regions by latency. Among equally near regions, those with owners of the service come
    /// first.
    fn remote_regions(&self, home: RegionId, service: ServiceId) -> Vec<RegionId> {
        let mut regions = self.regions.nearest(home).to_vec();
        let has_owner = |region: RegionId| {
            (self.services.get(service.index()))
                .is_some_and(|s| s.owners.iter().any(|o| o.region == region))
        };
        regions.sort_by_key(|r| (self.regions.round_trip_us(home, *r), !has_owner(*r)));
        regions
    }

    pub(super) fn lookup_entries(&self, client: &ClientHome, service: ServiceId) -> Vec<EntryId> {
        let status = |e: EntryId| self.config.entry_status[e.index()];
        let responsive = |e: EntryId| e == self.entry || !self.is_unresponsive(e);
        let active = |e: EntryId| matches!(status(e), EntryStatus::Active { .. });
        let leaving = |e: EntryId| matches!(status(e), EntryStatus::Leaving { .. });
        // Falls back to less suitable entries rather than returning none, because the observations
        // may be wrong.
        let mut selected = self.ordered_entries(client, service, |e| active(e) && responsive(e));
        if selected.is_empty() {
            selected = self.ordered_entries(client, service, active);
        }
        if selected.is_empty() {
            selected = self.ordered_entries(client, service, leaving);
        }
        if selected.is_empty() {
            selected = self.ordered_entries(client, service, |_| true);
        }
        if selected.is_empty() {
            selected.push(self.entry);
        }
        selected
    }
}

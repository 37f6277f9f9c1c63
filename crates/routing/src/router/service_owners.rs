use super::{owner::Owner, pressure::Pressure};
use crate::RetryBudget;
use mangospindle_model::{EntryId, ServiceId};
use mangospindle_state::{Config, EntryStatus};
use std::time::Duration;

/// The owners of one service and what is counted for it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceOwners {
    /// Candidates, sorted by entry.
    pub(super) owners: Vec<Owner>,
    pub(super) budget: RetryBudget,
    pub(super) pressure: Pressure,
}

impl ServiceOwners {
    /// Takes the owners from a configuration and keeps the observations of those that remain.
    pub(super) fn update(&mut self, now: Duration, service: ServiceId, config: &Config) {
        let topology = &config.topology;
        let mut old = std::mem::take(&mut self.owners);
        let mut leaving_slots: Vec<u32> = Vec::new();
        for id in topology.endpoint_ids() {
            let endpoint = &topology.endpoints[id.index()];
            let owner = match config.owner_of(id) {
                Some(entry) if endpoint.service == service => entry,
                _ => continue,
            };
            let position = match self.owners.binary_search_by_key(&owner, |o| o.entry) {
                Ok(position) => position,
                Err(position) => {
                    let kept = old.binary_search_by_key(&owner, |o| o.entry);
                    let region = topology.entry_region(owner);
                    let mut item = match kept {
                        Ok(i) => old.remove(i),
                        Err(_) => Owner::new(owner, region, now),
                    };
                    item.slots = 0;
                    self.owners.insert(position, item);
                    leaving_slots.insert(position, 0);
                    position
                }
            };
            // An endpoint that an operator drains gets nothing new, so it is no capacity.
            if config.endpoint_drain[id.index()] {
                leaving_slots[position] += endpoint.slots;
            } else {
                self.owners[position].slots += endpoint.slots;
            }
        }
        for (owner, leaving) in self.owners.iter_mut().zip(leaving_slots) {
            let total = owner.slots + leaving;
            let status = config.entry_status[owner.entry.index()];
            owner.leaving_share = match status {
                EntryStatus::Leaving { .. } => 1.0,
                _ => f64::from(leaving) / f64::from(total.max(1)),
            };
        }
        self.owners.retain(|o| o.slots > 0);
    }

    pub(super) fn owner_mut(&mut self, entry: EntryId) -> Option<&mut Owner> {
        let position = self.owners.binary_search_by_key(&entry, |o| o.entry).ok()?;
        self.owners.get_mut(position)
    }

    /// Mean latency of the owners that have one, in seconds.
    pub(super) fn usual_latency_s(&self) -> f64 {
        let known = self.owners.iter().filter_map(|o| o.stats.latency_s());
        let (sum, count) = known.fold((0.0, 0), |(s, n), l| (s + l, n + 1));
        match count {
            0 => Self::ASSUMED_LATENCY_S,
            n => sum / f64::from(n),
        }
    }

    /// Latency of a service before the first answer, in seconds.
    const ASSUMED_LATENCY_S: f64 = 0.005;
}

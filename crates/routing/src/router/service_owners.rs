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
    usual_s: Option<f64>,
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

    /// Records the time to the first byte of an answer of any owner.
    pub(super) fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        self.usual_s = Some(match self.usual_s {
            Some(usual) if sample < usual => usual + Self::FALL * (sample - usual),
            Some(usual) => sample.min(usual * Self::RISE),
            None => sample,
        });
    }

    /// Latency of the fastest owners in their usual state, in seconds.
    pub(super) fn usual_s(&self) -> f64 {
        self.usual_s.unwrap_or(Self::ASSUMED_LATENCY_S).max(1e-6)
    }

    /// Weight of a sample below the usual latency.
    const FALL: f64 = 0.2;
    /// Largest factor on the usual latency by one slow sample. It is close to 1, so that a slow
    /// phase of seconds does not become the usual state.
    const RISE: f64 = 1.001;
    /// Latency of a service before the first answer, in seconds.
    const ASSUMED_LATENCY_S: f64 = 0.005;
}

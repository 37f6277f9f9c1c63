use super::{owner::Owner, refusal_ratio::RefusalRatio};
use crate::RetryBudget;
use mangospindle_model::{EntryId, ServiceId};
use mangospindle_state::{Config, EntryStatus};
use std::time::Duration;

/// The owners of one service, its retry budget and its moving averages.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceOwners {
    /// Owners with at least one slot, sorted by entry.
    pub(super) owners: Vec<Owner>,
    pub(super) budget: RetryBudget,
    pub(super) refusals: RefusalRatio,
    baseline_latency_s: Option<f64>,
}

impl ServiceOwners {
    /// Updates the owners from a configuration. The observations of owners that remain are kept.
    pub(super) fn update(&mut self, now: Duration, service: ServiceId, config: &Config) {
        let topology = &config.topology;
        let mut old = std::mem::take(&mut self.owners);
        let mut drained_slots: Vec<u32> = Vec::new();
        for id in topology.endpoint_ids() {
            let endpoint = &topology.endpoints[id.index()];
            let owner = match config.owner_of(id) {
                Some(entry) if endpoint.service == service => entry,
                _ => continue,
            };
            let position = match self.owners.binary_search_by_key(&owner, |o| o.entry) {
                Ok(position) => position,
                Err(position) => {
                    let old_position = old.binary_search_by_key(&owner, |o| o.entry);
                    let region = topology.entry_region(owner);
                    let mut owner_state = match old_position {
                        Ok(i) => old.remove(i),
                        Err(_) => Owner::new(owner, region, now),
                    };
                    owner_state.slots = 0;
                    self.owners.insert(position, owner_state);
                    drained_slots.insert(position, 0);
                    position
                }
            };
            // An endpoint drained by an operator receives no new requests, so its slots are not
            // counted as capacity.
            if config.endpoint_drain[id.index()] {
                drained_slots[position] += endpoint.slots;
            } else {
                self.owners[position].slots += endpoint.slots;
            }
        }
        for (owner, drained) in self.owners.iter_mut().zip(drained_slots) {
            let total = owner.slots + drained;
            let status = config.entry_status[owner.entry.index()];
            owner.leaving_fraction = match status {
                EntryStatus::Leaving { .. } => 1.0,
                _ => f64::from(drained) / f64::from(total.max(1)),
            };
        }
        self.owners.retain(|o| o.slots > 0);
    }

    pub(super) fn owner_mut(&mut self, entry: EntryId) -> Option<&mut Owner> {
        let position = self.owners.binary_search_by_key(&entry, |o| o.entry).ok()?;
        self.owners.get_mut(position)
    }

    /// Records the time to the first byte of a response of any owner.
    pub(super) fn record_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        self.baseline_latency_s = Some(match self.baseline_latency_s {
            Some(baseline_s) if sample < baseline_s => {
                baseline_s + Self::DECREASE_WEIGHT * (sample - baseline_s)
            }
            Some(baseline_s) => sample.min(baseline_s * Self::MAX_INCREASE_FACTOR),
            None => sample,
        });
    }

    /// Latency of the fastest owners in their normal state, in seconds.
    pub(super) fn baseline_latency_s(&self) -> f64 {
        self.baseline_latency_s
            .unwrap_or(Self::INITIAL_LATENCY_S)
            .max(1e-6)
    }

    /// Weight of a sample below the baseline latency.
    const DECREASE_WEIGHT: f64 = 0.2;
    /// Maximum factor by which one sample raises the baseline latency. It is close to 1, so that a
    /// slow phase of a few seconds does not become the baseline.
    const MAX_INCREASE_FACTOR: f64 = 1.001;
    /// Baseline latency before the first response, in seconds.
    const INITIAL_LATENCY_S: f64 = 0.005;
}

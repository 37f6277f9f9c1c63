use super::{Router, owner::Owner, service_owners::ServiceOwners};
use crate::Attempts;
use mangospindle_model::{EntryId, RegionId, Weights};
use mangospindle_state::EntryStatus;
use rand::Rng;
use std::time::Duration;

/// Cost of an owner outside the client's home region, where the best owner in the home region costs
/// about 1. Cross-region capacity is limited, so the home region must be this much worse.
const CROSS_REGION_COST: f64 = 2.0;
/// Smallest cost, so that failures count when all goals cost nothing.
const MIN_COST: f64 = 0.01;
/// Owners whose cost is within this factor of the best are equal.
const EQUAL_FACTOR: f64 = 1.25;
/// The second of two drawn owners is taken if its load is lower by this factor, so that differences
/// within the noise don't favour one owner.
const EQUAL_LOAD: f64 = 1.1;
/// Probability with which a choice ignores old observations, so that an owner that was slow or
/// failing is found again after it recovered.
const DOUBT: f64 = 0.05;

/// Which owners are acceptable for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Quality {
    /// Responsive, not ejected, no refusal a moment ago.
    Good,
    /// Responsive and not ejected.
    Full,
    /// Any.
    Bad,
}

impl Router {
    /// Chooses an owner that was not tried yet and is at least of the given quality; reads may
    /// return to an owner when all were tried.
    pub(super) fn pick(
        &mut self,
        now: Duration,
        attempts: &Attempts,
        worst: Quality,
        may_repeat: bool,
    ) -> Option<EntryId> {
        let service = self.services.get(attempts.service.index())?;
        let usable = |o: &Owner| {
            let status = self.config.entry_status[o.entry.index()];
            !matches!(status, EntryStatus::Fenced)
        };
        let mut candidates: Vec<(&Owner, Quality)> = (service.owners.iter())
            .filter(|o| usable(o) && !attempts.tried.contains(&o.entry))
            .map(|o| (o, self.quality(now, o, attempts.home_region)))
            .collect();
        if candidates.is_empty() && may_repeat {
            candidates = (service.owners.iter().filter(|o| usable(o)))
                .map(|o| (o, self.quality(now, o, attempts.home_region)))
                .collect();
        }
        let best = candidates.iter().map(|c| c.1).min()?;
        if best > worst {
            return None;
        }
        candidates.retain(|c| c.1 == best);
        let weights = self.config.profile_of(attempts.service).map(|p| p.weights);
        let weights = normalized(weights);
        let usual_s = service.usual_s();
        let doubt = self.rng.random::<f64>() < DOUBT;
        let candidates: Vec<&Owner> = candidates.into_iter().map(|c| c.0).collect();
        let ramped = in_ramp(&candidates, now, &mut self.rng);
        let costs = self.costs(now, &ramped, service, attempts.home_region, weights, doubt);
        let limit = costs.iter().copied().fold(f64::INFINITY, f64::min) * EQUAL_FACTOR;
        let equal: Vec<&Owner> = (ramped.iter().zip(&costs))
            .filter(|(_, cost)| **cost <= limit)
            .map(|(o, _)| *o)
            .collect();
        let first = weighted(&equal, &mut self.rng)?;
        let second = weighted(&equal, &mut self.rng)?;
        let load = |o: &Owner| o.stats.cost(o.slots, usual_s);
        let chosen = match load(second) * EQUAL_LOAD < load(first) {
            true => second,
            false => first,
        };
        Some(chosen.entry)
    }

    fn quality(&self, now: Duration, owner: &Owner, home: RegionId) -> Quality {
        if owner.stats.is_ejected(now) || self.is_unresponsive(owner.entry) {
            Quality::Bad
        } else if owner.is_full(now, home) {
            Quality::Full
        } else {
            Quality::Good
        }
    }

    fn costs(
        &self,
        now: Duration,
        owners: &[&Owner],
        service: &ServiceOwners,
        home: RegionId,
        weights: Weights,
        doubt: bool,
    ) -> Vec<f64> {
        let usual_s = service.usual_s();
        let network = |o: &Owner| self.network_s(o.entry);
        let home_network_s = (service.owners.iter().filter(|o| o.region == home))
            .map(network)
            .fold(f64::INFINITY, f64::min);
        let any_network_s = (owners.iter().map(|o| network(o))).fold(f64::INFINITY, f64::min);
        // The fastest answer that the home region could give in its usual state.
        let floor_s = match home_network_s.is_finite() {
            true => home_network_s.max(usual_s),
            false => any_network_s.max(usual_s),
        };
        let cost = |o: &&Owner| {
            let doubted = doubt && o.stats.is_stale(now);
            // The observed latency of an owner includes the way to it.
            let observed_s = o.stats.latency_s().filter(|_| !doubted);
            let expected_s = observed_s.unwrap_or_else(|| network(o).max(usual_s));
            let cross = match o.region == home {
                true => 0.0,
                false => CROSS_REGION_COST,
            };
            let goals = weights.latency * expected_s / floor_s
                + weights.headroom * o.busy(now)
                + weights.drain * o.leaving_share;
            let failures = if doubted {
                1.0
            } else {
                o.stats.failure_factor()
            };
            (goals + cross + MIN_COST) * failures
        };
        owners.iter().map(cost).collect()
    }

    /// Expected round-trip time to an entry in seconds: own probes first, then configured
    /// latencies.
    fn network_s(&self, entry: EntryId) -> f64 {
        if entry == self.entry {
            return 0.0;
        }
        let own = self
            .entries
            .get(entry.index())
            .and_then(|e| e.round_trip_s());
        own.unwrap_or_else(|| {
            let topology = &self.config.topology;
            let from = topology.entry_region(self.entry);
            f64::from(
                self.regions
                    .round_trip_us(from, topology.entry_region(entry)),
            ) / 1e6
        })
    }
}

/// Leaves out owners that ramp up, with a probability relative to the best owner of their region.
fn in_ramp<'a, R>(owners: &[&'a Owner], now: Duration, rng: &mut R) -> Vec<&'a Owner>
where
    R: Rng,
{
    let best_ramp = |region: RegionId| {
        let same = owners.iter().filter(|o| o.region == region);
        same.map(|o| o.stats.slow_start_fraction(now))
            .fold(0.0, f64::max)
    };
    let mut kept = Vec::with_capacity(owners.len());
    for owner in owners {
        let ramp = owner.stats.slow_start_fraction(now);
        if ramp >= 1.0 || rng.random::<f64>() * best_ramp(owner.region) < ramp {
            kept.push(*owner);
        }
    }
    if kept.is_empty() {
        owners.to_vec()
    } else {
        kept
    }
}

/// Draws an owner in proportion to its slots.
fn weighted<'a, R>(owners: &[&'a Owner], rng: &mut R) -> Option<&'a Owner>
where
    R: Rng,
{
    let weight = |o: &Owner| f64::from(o.slots);
    let total: f64 = owners.iter().map(|o| weight(o)).sum();
    let mut rest = rng.random::<f64>() * total;
    for owner in owners {
        rest -= weight(owner);
        if rest < 0.0 {
            return Some(owner);
        }
    }
    owners.last().copied()
}

/// Weights with sum 1; equal weights if there are none.
fn normalized(weights: Option<Weights>) -> Weights {
    let w = weights.unwrap_or(Weights {
        latency: 1.0,
        headroom: 1.0,
        drain: 1.0,
    });
    let sum = w.latency + w.headroom + w.drain;
    if !(sum.is_finite() && sum > 0.0) {
        return normalized(None);
    }
    Weights {
        latency: w.latency / sum,
        headroom: w.headroom / sum,
        drain: w.drain / sum,
    }
}

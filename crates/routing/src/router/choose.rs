use super::{Router, owner::Owner, service_owners::ServiceOwners};
use crate::Attempts;
use mangospindle_model::{EntryId, RegionId, Weights};
use mangospindle_state::EntryStatus;
use rand::Rng;
use std::time::Duration;

/// Cost added to an owner outside the client's home region. The best owner in the home region costs
/// about 1. Cross-region capacity is limited, so the home region must be worse by this amount.
const CROSS_REGION_COST: f64 = 2.0;
/// Cost added to every owner, so that failures count even if the weighted latency, headroom and
/// drain are all zero.
const MIN_COST: f64 = 0.01;
/// Owners whose cost is within this factor of the lowest cost are tied.
const TIE_COST_FACTOR: f64 = 1.25;
/// The second of two drawn owners is used only if its load is lower by this factor, so that noise
/// in the load does not favour an owner.
const TIE_LOAD_FACTOR: f64 = 1.1;
/// Probability that a choice explores: it ignores stale observations, so that a slow or failing
/// owner receives requests again after it recovers.
const EXPLORATION_PROBABILITY: f64 = 0.05;

/// Availability of an owner for an attempt, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Availability {
    /// Responsive, not ejected and not in backoff after a refusal.
    Available,
    /// Responsive and not ejected, but in backoff after a refusal.
    BackedOff,
    /// Unresponsive or ejected.
    Unhealthy,
}

impl Router {
    /// Selects an owner that was not tried yet and whose availability is `worst_allowed` or better.
    /// If all owners were tried, `may_repeat` allows one of them to be tried again.
    pub(super) fn select_owner(
        &mut self,
        now: Duration,
        attempts: &Attempts,
        worst_allowed: Availability,
        may_repeat: bool,
    ) -> Option<EntryId> {
        let service = self.services.get(attempts.service.index())?;
        let usable = |o: &Owner| {
            let status = self.config.entry_status[o.entry.index()];
            !matches!(status, EntryStatus::Fenced)
        };
        let mut candidates: Vec<(&Owner, Availability)> = (service.owners.iter())
            .filter(|o| usable(o) && !attempts.tried.contains(&o.entry))
            .map(|o| (o, self.availability(now, o, attempts.home_region)))
            .collect();
        if candidates.is_empty() && may_repeat {
            candidates = (service.owners.iter().filter(|o| usable(o)))
                .map(|o| (o, self.availability(now, o, attempts.home_region)))
                .collect();
        }
        let best = candidates.iter().map(|c| c.1).min()?;
        if best > worst_allowed {
            return None;
        }
        candidates.retain(|c| c.1 == best);
        let weights = self.config.profile_of(attempts.service).map(|p| p.weights);
        let weights = normalized(weights);
        let baseline_latency_s = service.baseline_latency_s();
        let explore = self.rng.random::<f64>() < EXPLORATION_PROBABILITY;
        let candidates: Vec<&Owner> = candidates.into_iter().map(|c| c.0).collect();
        let eligible = apply_slow_start(&candidates, now, &mut self.rng);
        let costs = self.costs(
            now,
            &eligible,
            service,
            attempts.home_region,
            weights,
            explore,
        );
        let limit = costs.iter().copied().fold(f64::INFINITY, f64::min) * TIE_COST_FACTOR;
        let tied: Vec<&Owner> = (eligible.iter().zip(&costs))
            .filter(|(_, cost)| **cost <= limit)
            .map(|(o, _)| *o)
            .collect();
        let first = draw_by_slots(&tied, &mut self.rng)?;
        let second = draw_by_slots(&tied, &mut self.rng)?;
        let load = |o: &Owner| o.stats.cost(o.slots, baseline_latency_s);
        let chosen = match load(second) * TIE_LOAD_FACTOR < load(first) {
            true => second,
            false => first,
        };
        Some(chosen.entry)
    }

    fn availability(&self, now: Duration, owner: &Owner, home: RegionId) -> Availability {
        if owner.stats.is_ejected(now) || self.is_unresponsive(owner.entry) {
            Availability::Unhealthy
        } else if owner.is_backed_off(now, home) {
            Availability::BackedOff
        } else {
            Availability::Available
        }
    }

    fn costs(
        &self,
        now: Duration,
        owners: &[&Owner],
        service: &ServiceOwners,
        home: RegionId,
        weights: Weights,
        explore: bool,
    ) -> Vec<f64> {
        let baseline_latency_s = service.baseline_latency_s();
        let rtt_s = |o: &Owner| self.network_rtt_s(o.entry);
        let home_rtt_s = (service.owners.iter().filter(|o| o.region == home))
            .map(rtt_s)
            .fold(f64::INFINITY, f64::min);
        let best_rtt_s = (owners.iter().map(|o| rtt_s(o))).fold(f64::INFINITY, f64::min);
        // Lowest latency to expect from the home region in its normal state.
        let reference_latency_s = match home_rtt_s.is_finite() {
            true => home_rtt_s.max(baseline_latency_s),
            false => best_rtt_s.max(baseline_latency_s),
        };
        let cost = |o: &&Owner| {
            let ignore_observed = explore && o.stats.is_stale(now);
            // The observed latency of an owner includes the network round trip.
            let observed_s = o.stats.latency_s().filter(|_| !ignore_observed);
            let expected_s = observed_s.unwrap_or_else(|| rtt_s(o).max(baseline_latency_s));
            let cross_region_cost = match o.region == home {
                true => 0.0,
                false => CROSS_REGION_COST,
            };
            let weighted_cost = weights.latency * expected_s / reference_latency_s
                + weights.headroom * o.utilization(now)
                + weights.drain * o.leaving_fraction;
            let failure_penalty = if ignore_observed {
                1.0
            } else {
                o.stats.failure_factor()
            };
            (weighted_cost + cross_region_cost + MIN_COST) * failure_penalty
        };
        owners.iter().map(cost).collect()
    }

    /// Expected round-trip time to an entry in seconds, from probes if there are any, otherwise
    /// from the configured latencies.
    fn network_rtt_s(&self, entry: EntryId) -> f64 {
        if entry == self.entry {
            return 0.0;
        }
        let probed = self
            .entries
            .get(entry.index())
            .and_then(|e| e.round_trip_s());
        probed.unwrap_or_else(|| {
            let topology = &self.config.topology;
            let from = topology.entry_region(self.entry);
            f64::from(
                self.regions
                    .round_trip_us(from, topology.entry_region(entry)),
            ) / 1e6
        })
    }
}

/// Leaves out owners in slow start at random. The probability that an owner is kept is its slow
/// start fraction divided by the highest fraction in its region. Keeps all owners if none would be
/// left.
fn apply_slow_start<'a, R>(owners: &[&'a Owner], now: Duration, rng: &mut R) -> Vec<&'a Owner>
where
    R: Rng,
{
    let best_fraction = |region: RegionId| {
        let in_region = owners.iter().filter(|o| o.region == region);
        in_region
            .map(|o| o.stats.slow_start_fraction(now))
            .fold(0.0, f64::max)
    };
    let mut kept = Vec::with_capacity(owners.len());
    for owner in owners {
        let fraction = owner.stats.slow_start_fraction(now);
        if fraction >= 1.0 || rng.random::<f64>() * best_fraction(owner.region) < fraction {
            kept.push(*owner);
        }
    }
    if kept.is_empty() {
        owners.to_vec()
    } else {
        kept
    }
}

/// Draws an owner at random, with a probability proportional to its slots.
fn draw_by_slots<'a, R>(owners: &[&'a Owner], rng: &mut R) -> Option<&'a Owner>
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

/// Scales the weights to a sum of 1. Returns equal weights if there are none or their sum is not
/// finite and positive.
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

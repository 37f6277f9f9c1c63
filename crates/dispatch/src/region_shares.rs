use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum fraction of the requests that shifts between regions in one [`SHARE_UPDATE_INTERVAL`].
pub const MAX_SHARE_STEP: f64 = 0.02;

/// Interval between two updates of the shares.
pub const SHARE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Load per slot of this entry's region below which requests shift back to it.
const LIGHT_LOAD_RATIO: f64 = 0.6;

/// Load per slot of this entry's region above which requests shift to other regions.
const HEAVY_LOAD_RATIO: f64 = 0.9;

/// Number of requests by which a region may exceed its share to keep the affinity of requests to
/// objects in its endpoints' working sets.
const MAX_REQUESTS_AHEAD: f64 = 2.0;

/// Shares of a service's requests that are sent to each region.
///
/// All regions are assumed to have the same demand. A region with less than an equal share of the
/// slots sends its surplus requests to regions with more. This split applies from the start,
/// because later changes are limited: a sudden shift of requests would find cold caches. A region
/// that turns out to be lightly loaded takes its requests back.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionShares {
    shares: BTreeMap<String, f64>,
    /// Requests by which each region is behind its share; negative if it is ahead.
    credit: BTreeMap<String, f64>,
    changed_at: Option<Duration>,
}

impl RegionShares {
    /// Whether an update of the shares has an effect now.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        (self.changed_at).is_none_or(|at| now >= at + SHARE_UPDATE_INTERVAL)
    }

    /// Adjusts the shares, at most once per [`SHARE_UPDATE_INTERVAL`]. `slots` are those of each region that
    /// has any, and `load_ratio` is the load per slot that requests met in this entry's region, if it is
    /// known.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        own_region: &str,
        regions: usize,
        slots: &BTreeMap<String, u32>,
        load_ratio: Option<f64>,
    ) {
        if !self.is_due(now) {
            return;
        }
        let balanced = balanced_shares(own_region, regions, slots);
        match self.changed_at {
            None => self.shares = balanced,
            Some(_) => match load_ratio {
                _ if !slots.contains_key(own_region) => self.step_towards(&balanced),
                Some(ratio) if ratio < LIGHT_LOAD_RATIO => {
                    self.step_towards(&BTreeMap::from([(own_region.to_string(), 1.0)]));
                }
                Some(ratio) if ratio > HEAVY_LOAD_RATIO => self.step_towards(&balanced),
                Some(_) | None => {}
            },
        }
        self.changed_at = Some(now);
    }

    /// Moves the shares one step towards `target`.
    fn step_towards(&mut self, target: &BTreeMap<String, f64>) {
        let share = |map: &BTreeMap<String, f64>, name: &String| map.get(name).copied();
        let names = self.shares.keys().chain(target.keys());
        let names: Vec<String> = names.cloned().collect();
        let distance: f64 = (target.iter())
            .map(|(name, t)| (t - share(&self.shares, name).unwrap_or(0.0)).max(0.0))
            .sum();
        if distance <= f64::EPSILON {
            return;
        }
        let fraction = (MAX_SHARE_STEP / distance).min(1.0);
        for name in names {
            let target = share(target, &name).unwrap_or(0.0);
            let current = self.shares.entry(name).or_default();
            *current += fraction * (target - *current);
        }
    }

    /// Selects the region of the next request from those that may serve it.
    ///
    /// Requests with the same affinity key are sent to the same region, whose working sets then
    /// hold the object, while that region is less than [`MAX_REQUESTS_AHEAD`] requests ahead of its
    /// share. Otherwise the region furthest behind its share is selected.
    pub(crate) fn select<'a, I>(&mut self, regions: I, affinity_key: Option<u64>) -> Option<&'a str>
    where
        I: Iterator<Item = &'a str>,
    {
        let regions: Vec<&str> = regions.collect();
        let share = |name: &str| self.shares.get(name).copied().unwrap_or(0.0);
        let total: f64 = regions.iter().map(|r| share(r)).sum();
        let weight = |name: &str| match total > 0.0 {
            true => share(name) / total,
            false => 1.0 / regions.len() as f64,
        };
        let weights: Vec<f64> = regions.iter().map(|r| weight(r)).collect();
        for (region, weight) in regions.iter().zip(&weights) {
            *self.credit.entry((*region).to_string()).or_default() += weight;
        }
        let preferred =
            affinity_key.and_then(|affinity_key| region_for_key(affinity_key, &weights));
        let credit = |r: &&str| self.credit.get(*r).copied().unwrap_or(0.0);
        let most_behind =
            (regions.iter().copied()).max_by(|a, b| credit(a).total_cmp(&credit(b)))?;
        let chosen = match preferred.map(|i| regions[i]) {
            Some(region) if credit(&region) > -MAX_REQUESTS_AHEAD => region,
            _ => most_behind,
        };
        if let Some(credit) = self.credit.get_mut(chosen) {
            *credit -= 1.0;
        }
        Some(chosen)
    }
}

/// Index of the region whose section of the key space contains the affinity key. The sections are
/// proportional to the weights.
fn region_for_key(affinity_key: u64, weights: &[f64]) -> Option<usize> {
    let point = affinity_key as f64 / u64::MAX as f64;
    let mut end = 0.0;
    let found = weights.iter().position(|weight| {
        end += weight;
        point < end
    });
    found.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}

/// Shares that load all slots equally if all regions have the same demand.
fn balanced_shares(
    own_region: &str,
    regions: usize,
    slots: &BTreeMap<String, u32>,
) -> BTreeMap<String, f64> {
    let demand = slots.values().copied().map(f64::from).sum::<f64>() / regions.max(1) as f64;
    let own_slots = slots.get(own_region).copied().map_or(0.0, f64::from);
    let own_share = match demand > 0.0 {
        true => (own_slots / demand).min(1.0),
        false => 1.0,
    };
    let surplus = |slots: &u32| (f64::from(*slots) - demand).max(0.0);
    let others = || slots.iter().filter(|(name, _)| *name != own_region);
    let total: f64 = others().map(|(_, slots)| surplus(slots)).sum();
    let mut shares = BTreeMap::from([(own_region.to_string(), own_share)]);
    if total > 0.0 {
        let weights = others().map(|(name, slots)| (name.clone(), surplus(slots) / total));
        shares.extend(weights.map(|(name, weight)| (name, weight * (1.0 - own_share))));
    }
    shares
}

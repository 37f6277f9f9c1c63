use std::collections::BTreeMap;
use std::time::Duration;

/// Largest change of a region's share in one interval.
pub const MAX_SHARE_STEP: f64 = 0.02;

/// Interval between two changes of the shares.
pub const SHARE_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Load of the own region, relative to its slots, below which requests return to it.
const LIGHT_LOAD: f64 = 0.6;

/// Load of the own region, relative to its slots, above which requests leave it.
const HEAVY_LOAD: f64 = 0.9;

/// Requests that a region may be ahead of its share so that its endpoints get objects they know.
const MAX_DEVIATION: f64 = 2.0;

/// Slots of a service in a region, and the requests in progress at them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RegionLoad {
    pub(crate) slots: u32,
    pub(crate) in_progress: f64,
}

/// Shares of a service's requests that go to each region.
///
/// Regions are assumed to have the same demand. A region with less than its part of the slots sends
/// the rest of its requests to regions with more, from the start on: the shares may then only
/// change slowly, because requests that move all at once find caches cold. A region that turns out
/// to be lightly loaded takes its requests back.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionShares {
    shares: BTreeMap<String, f64>,
    credit: BTreeMap<String, f64>,
    changed_at: Option<Duration>,
}

impl RegionShares {
    /// Follows the load, once per interval.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        own: &str,
        regions: usize,
        loads: &BTreeMap<String, RegionLoad>,
    ) {
        let balanced = balanced(own, regions, loads);
        match self.changed_at {
            None => self.shares = balanced,
            Some(at) if now < at + SHARE_UPDATE_INTERVAL => return,
            Some(_) => {
                let load = loads.get(own).copied().unwrap_or_default();
                let busy = load.in_progress / f64::from(load.slots.max(1));
                let local = BTreeMap::from([(own.to_string(), 1.0)]);
                match busy {
                    _ if load.slots == 0 => self.approach(&balanced),
                    b if b < LIGHT_LOAD => self.approach(&local),
                    b if b > HEAVY_LOAD => self.approach(&balanced),
                    _ => {}
                }
            }
        }
        self.changed_at = Some(now);
    }

    /// Moves one step towards other shares.
    fn approach(&mut self, goal: &BTreeMap<String, f64>) {
        let share = |map: &BTreeMap<String, f64>, name: &String| map.get(name).copied();
        let names = self.shares.keys().chain(goal.keys());
        let names: Vec<String> = names.cloned().collect();
        let distance: f64 = (goal.iter())
            .map(|(name, g)| (g - share(&self.shares, name).unwrap_or(0.0)).max(0.0))
            .sum();
        if distance <= f64::EPSILON {
            return;
        }
        let fraction = (MAX_SHARE_STEP / distance).min(1.0);
        for name in names {
            let goal = share(goal, &name).unwrap_or(0.0);
            let present = self.shares.entry(name).or_default();
            *present += fraction * (goal - *present);
        }
    }

    /// The region of the next request among those that may serve it.
    ///
    /// Requests for one object go to one region, whose endpoints then know it, as long as no
    /// region is more than [`MAX_DEVIATION`] requests off its share; otherwise the region that is
    /// furthest behind its share is next.
    pub(crate) fn next<'a, I>(&mut self, regions: I, object: Option<u64>) -> Option<&'a str>
    where
        I: Iterator<Item = &'a str>,
    {
        let regions: Vec<&str> = regions.collect();
        let share = |name: &str| self.shares.get(name).copied().unwrap_or(0.0);
        let total: f64 = regions.iter().map(|r| share(r)).sum();
        let part = |name: &str| match total > 0.0 {
            true => share(name) / total,
            false => 1.0 / regions.len() as f64,
        };
        let parts: Vec<f64> = regions.iter().map(|r| part(r)).collect();
        for (region, part) in regions.iter().zip(&parts) {
            *self.credit.entry((*region).to_string()).or_default() += part;
        }
        let wanted = object.and_then(|object| region_of_object(object, &parts));
        let credit = |r: &&str| self.credit.get(*r).copied().unwrap_or(0.0);
        let behind = (regions.iter().copied()).max_by(|a, b| credit(a).total_cmp(&credit(b)))?;
        let chosen = match wanted.map(|i| regions[i]) {
            Some(region) if credit(&region) > -MAX_DEVIATION => region,
            _ => behind,
        };
        if let Some(credit) = self.credit.get_mut(chosen) {
            *credit -= 1.0;
        }
        Some(chosen)
    }
}

/// Position of the region whose part of the range of all objects holds this one.
fn region_of_object(object: u64, parts: &[f64]) -> Option<usize> {
    let place = object as f64 / u64::MAX as f64;
    let mut end = 0.0;
    let found = parts.iter().position(|part| {
        end += part;
        place < end
    });
    found.or_else(|| parts.iter().rposition(|part| *part > 0.0))
}

/// Shares that load all slots alike if all regions have the same demand.
fn balanced(
    own: &str,
    regions: usize,
    loads: &BTreeMap<String, RegionLoad>,
) -> BTreeMap<String, f64> {
    let slots = |load: &RegionLoad| f64::from(load.slots);
    let demand = loads.values().map(slots).sum::<f64>() / regions.max(1) as f64;
    let local = match demand > 0.0 {
        true => (loads.get(own).map_or(0.0, slots) / demand).min(1.0),
        false => 1.0,
    };
    let surplus = |load: &RegionLoad| (slots(load) - demand).max(0.0);
    let others = || loads.iter().filter(|(name, _)| *name != own);
    let total: f64 = others().map(|(_, load)| surplus(load)).sum();
    let mut shares = BTreeMap::from([(own.to_string(), local)]);
    if total > 0.0 {
        let parts = others().map(|(name, load)| (name.clone(), surplus(load) / total));
        shares.extend(parts.map(|(name, part)| (name, part * (1.0 - local))));
    }
    shares
}

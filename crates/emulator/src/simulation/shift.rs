use std::collections::BTreeMap;

/// Largest part of a region's requests that run in another region than in the window before.
pub(super) fn largest_shift(runs: &BTreeMap<(u64, String, String), u32>) -> f64 {
    let mut shares: BTreeMap<(String, u64), BTreeMap<String, f64>> = BTreeMap::new();
    for ((window, from, to), count) in runs {
        let by_region = shares.entry((from.clone(), *window)).or_default();
        *by_region.entry(to.clone()).or_default() += f64::from(*count);
    }
    let mut largest = 0.0_f64;
    for ((from, window), present) in &shares {
        let Some(before) = window
            .checked_sub(1)
            .and_then(|w| shares.get(&(from.clone(), w)))
        else {
            continue;
        };
        let total = |m: &BTreeMap<String, f64>| m.values().sum::<f64>().max(1.0);
        let (now, then) = (total(present), total(before));
        let moved: f64 = (present.iter())
            .map(|(to, n)| n / now - before.get(to).copied().unwrap_or(0.0) / then)
            .map(|change| change.max(0.0))
            .sum();
        largest = largest.max(moved);
    }
    largest
}

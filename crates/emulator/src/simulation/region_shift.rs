use std::collections::BTreeMap;

/// Returns the largest fraction of the requests of a region that moved to other regions between two
/// consecutive windows.
pub(super) fn largest_region_shift(runs: &BTreeMap<(u64, String, String), u32>) -> f64 {
    let mut counts: BTreeMap<(String, u64), BTreeMap<String, f64>> = BTreeMap::new();
    for ((window, from, to), count) in runs {
        let by_region = counts.entry((from.clone(), *window)).or_default();
        *by_region.entry(to.clone()).or_default() += f64::from(*count);
    }
    let mut largest = 0.0_f64;
    for ((from, window), current) in &counts {
        let Some(previous) = window
            .checked_sub(1)
            .and_then(|w| counts.get(&(from.clone(), w)))
        else {
            continue;
        };
        let total = |m: &BTreeMap<String, f64>| m.values().sum::<f64>().max(1.0);
        let (current_total, previous_total) = (total(current), total(previous));
        let moved: f64 = (current.iter())
            .map(|(to, n)| {
                n / current_total - previous.get(to).copied().unwrap_or(0.0) / previous_total
            })
            .map(|change| change.max(0.0))
            .sum();
        largest = largest.max(moved);
    }
    largest
}

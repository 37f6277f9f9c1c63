use mangospindle_model::rendezvous_score;

/// Divides `total` in proportion to `weights` by the largest remainder method; the parts sum up to
/// `total`. Equal remainders are ordered by a hash with `seed`, the same on all nodes, so that the
/// parts of different limits don't fall on the same items.
pub(crate) fn largest_remainder(total: u32, weights: &[u32], seed: u64) -> Vec<u32> {
    let sum: u64 = weights.iter().map(|w| u64::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let exact = |w: &u32| u64::from(total) * u64::from(*w);
    // Each quotient is at most `total`, so that it fits.
    let mut parts: Vec<u32> = weights.iter().map(|w| (exact(w) / sum) as u32).collect();
    let rest = total - parts.iter().sum::<u32>();
    let mut order: Vec<usize> = (0..weights.len()).filter(|i| weights[*i] > 0).collect();
    order.sort_by_key(|i| {
        let tie = rendezvous_score(seed, *i as u64);
        (std::cmp::Reverse(exact(&weights[*i]) % sum), tie, *i)
    });
    for i in order.into_iter().take(rest as usize) {
        parts[i] += 1;
    }
    parts
}

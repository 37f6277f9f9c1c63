use mangospindle_model::rendezvous_score;

/// Divides `total` into integer shares proportional to `weights` by the largest remainder method.
/// The shares add up to `total`.
///
/// Ties between equal remainders are broken by a hash with `seed` that is the same on all nodes.
/// Different seeds prevent different limits from favouring the same items.
pub(crate) fn largest_remainder(total: u32, weights: &[u32], seed: u64) -> Vec<u32> {
    let sum: u64 = weights.iter().map(|w| u64::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let exact = |w: &u32| u64::from(total) * u64::from(*w);
    // Each quotient is at most `total`, so the cast does not truncate it.
    let mut shares: Vec<u32> = weights.iter().map(|w| (exact(w) / sum) as u32).collect();
    let remainder = total - shares.iter().sum::<u32>();
    let mut order: Vec<usize> = (0..weights.len()).filter(|i| weights[*i] > 0).collect();
    order.sort_by_key(|i| {
        let tie_break = rendezvous_score(seed, *i as u64);
        (std::cmp::Reverse(exact(&weights[*i]) % sum), tie_break, *i)
    });
    for i in order.into_iter().take(remainder as usize) {
        shares[i] += 1;
    }
    shares
}

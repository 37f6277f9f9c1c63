use mangospindle_model::RouteTarget;

/// Distributes the requests of a route over its targets in proportion to their weights.
///
/// The target furthest behind its share receives the next request, so that the proportions also
/// hold over short runs of requests.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<i64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the target for the next request, or `None` if all weights are zero.
    pub fn next(&mut self, targets: &[RouteTarget]) -> Option<usize> {
        if self.credit.len() != targets.len() {
            self.credit = vec![0; targets.len()];
        }
        let total: i64 = targets.iter().map(|t| i64::from(t.weight)).sum();
        for (credit, target) in self.credit.iter_mut().zip(targets) {
            *credit += i64::from(target.weight);
        }
        let weighted = (0..targets.len()).filter(|i| targets[*i].weight > 0);
        let chosen = weighted.max_by_key(|i| self.credit[*i])?;
        self.credit[chosen] -= total;
        Some(chosen)
    }
}

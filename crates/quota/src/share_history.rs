use std::time::Duration;

/// Shares of a limit per endpoint, while configuration changes propagate.
///
/// Owners receive a configuration at different times, up to
/// [`ShareHistory::MAX_PROPAGATION_DELAY`] apart. A share that moves from one endpoint to another
/// must not be used at both. Therefore, a decrease takes effect at once. An increase takes effect
/// only after all owners have applied the decreases that came with it and nothing admitted under
/// the old shares counts any more. The effective share is the smallest share that was in force
/// during the last `hold`. A change that decreases no share takes effect at once, because the sum
/// cannot exceed the new, larger limit.
///
/// The sum over all owners therefore never exceeds the largest limit in force during the last
/// `hold`.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShareHistory {
    current: Vec<u32>,
    /// Replaced shares, with the time until which they restrict the effective shares.
    previous: Vec<(Duration, Vec<u32>)>,
}

impl ShareHistory {
    /// Maximum time between the arrival of a configuration at the first owner and at the last owner
    /// that may act on it: 4 s by design, plus the clock drift.
    pub(crate) const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(4_100);

    /// Applies the shares of a new configuration. Endpoints are only ever appended. An endpoint
    /// that an older configuration did not have had no share in it.
    ///
    /// `versions_skipped` says that configurations between the previous one and this one were never
    /// seen. They may have moved shares that other owners still use, so no share increases at once.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        hold: Duration,
        shares: Vec<u32>,
        versions_skipped: bool,
    ) {
        self.previous.retain(|(until, _)| now < *until);
        let decreases = (self.current.iter().zip(&shares)).any(|(old, new)| new < old);
        let old = std::mem::replace(&mut self.current, shares);
        if decreases || versions_skipped {
            self.previous.push((now + hold, old));
        }
    }

    /// Share that the endpoint at `position` may use at `now`.
    pub(crate) fn effective_share(&self, now: Duration, position: usize) -> u32 {
        let share = |shares: &[u32]| shares.get(position).copied().unwrap_or(0);
        let held = (self.previous.iter()).filter(|(until, _)| now < *until);
        held.map(|(_, shares)| share(shares))
            .fold(share(&self.current), u32::min)
    }
}

/// Maximum time by which one command advances the elapsed time. The control process proposes
/// `Expire` at least this often, so only an incorrect wall clock makes a larger step.
pub(crate) const MAX_STEP_MS: u64 = 2 * 60 * 1000;

/// Elapsed leader time, accumulated from the wall-clock times of the commands.
///
/// Retention must not depend on the absolute value of any wall clock: otherwise a leader whose
/// clock is years ahead would expire every claim at once. Clock errors make the elapsed time too
/// short, with one exception: a change to a leader whose clock is more than [`MAX_STEP_MS`] ahead
/// adds one such step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaderClock {
    pub(crate) elapsed_ms: u64,
    pub(crate) last_wall_ms: u64,
}

impl LeaderClock {
    /// Advances to the wall-clock time of the next command, in milliseconds since the Unix epoch.
    pub(crate) fn advance(&mut self, leader_time_ms: u64) {
        if self.last_wall_ms == 0 || leader_time_ms.saturating_add(MAX_STEP_MS) < self.last_wall_ms
        {
            self.last_wall_ms = leader_time_ms;
        }
        let step_ms = leader_time_ms.saturating_sub(self.last_wall_ms);
        self.elapsed_ms += step_ms.min(MAX_STEP_MS);
        self.last_wall_ms = self.last_wall_ms.max(leader_time_ms);
    }
}

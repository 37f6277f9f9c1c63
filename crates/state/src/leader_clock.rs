/// Largest step that one command can advance the elapsed time by. The control process proposes
/// `Expire` at least this often, so that only a wrong wall clock makes a larger step.
pub(crate) const MAX_STEP_MS: u64 = 2 * 60 * 1000;

/// Leader time that has passed, added up from the wall-clock times of the commands.
///
/// Retention must not depend on the absolute value of any wall clock: a leader whose clock is years
/// ahead would otherwise forget every claim at once. Errors make the elapsed time too short, except
/// that a change to a leader whose clock is more than [`MAX_STEP_MS`] ahead adds one such step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaderClock {
    pub(crate) elapsed_ms: u64,
    pub(crate) last_ms: u64,
}

impl LeaderClock {
    /// Takes the wall-clock time of the next command.
    pub(crate) fn advance(&mut self, leader_time_ms: u64) {
        if self.last_ms == 0 || leader_time_ms.saturating_add(MAX_STEP_MS) < self.last_ms {
            self.last_ms = leader_time_ms;
        }
        let step = leader_time_ms.saturating_sub(self.last_ms);
        self.elapsed_ms += step.min(MAX_STEP_MS);
        self.last_ms = self.last_ms.max(leader_time_ms);
    }
}

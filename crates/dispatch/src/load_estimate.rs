use std::time::Duration;

/// Time in which the part of a reported load that other entries cause loses half of its weight.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(600);

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in it.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
}

/// Requests in progress at an endpoint: the own ones are counted, those of other entries are
/// estimated from the latest report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    own: u32,
    others: f64,
    reported_at: Duration,
}

impl LoadEstimate {
    pub(crate) fn sent(&mut self) {
        self.own += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Own requests in progress.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Takes a report. Call it after [`LoadEstimate::ended`] for the answer that carried it; the
    /// endpoint counts that request no longer.
    pub(crate) fn report(&mut self, now: Duration, reading: LoadReading) {
        let total = f64::from(reading.running + reading.waiting);
        self.others = (total - f64::from(self.own)).max(0.0);
        self.reported_at = now;
    }

    /// Expected requests in progress.
    pub(crate) fn expected(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / OTHERS_HALF_LIFE.as_secs_f64());
        f64::from(self.own) + self.others * weight
    }
}

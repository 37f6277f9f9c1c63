use std::time::Duration;

/// Half-life of the weight of the reported load that other entries cause.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(600);

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
}

/// Estimate of the requests in progress at an endpoint. Requests of this entry are counted; those
/// of other entries are estimated from the latest report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadEstimate {
    own: u32,
    others: f64,
    reported_at: Duration,
}

impl LoadEstimate {
    pub(crate) fn record_send(&mut self) {
        self.own += 1;
    }

    pub(crate) fn record_end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Requests of this entry in progress.
    pub(crate) fn own_in_progress(&self) -> u32 {
        self.own
    }

    /// Records a load report. Must be called after [`LoadEstimate::record_end`] for the response
    /// that carried the report, because the report no longer includes that request.
    pub(crate) fn record_report(&mut self, now: Duration, reading: LoadReading) {
        let total = f64::from(reading.running) + f64::from(reading.waiting);
        self.others = (total - f64::from(self.own)).max(0.0);
        self.reported_at = now;
    }

    /// Expected number of requests in progress, from all entries.
    pub(crate) fn expected(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / OTHERS_HALF_LIFE.as_secs_f64());
        f64::from(self.own) + self.others * weight
    }
}

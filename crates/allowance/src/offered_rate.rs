use std::time::Duration;

/// Time constant of the estimate. Shares move within about this time; with a shorter one they would
/// fluctuate with single requests.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Exponentially weighted estimate of a rate of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct OfferedRate {
    per_second: f64,
    at: Duration,
}

impl OfferedRate {
    /// A rate that was measured elsewhere and is current as of `at`.
    pub(crate) fn new(per_second: f64, at: Duration) -> Self {
        OfferedRate { per_second, at }
    }

    /// Counts a request.
    pub(crate) fn record(&mut self, now: Duration) {
        *self = OfferedRate {
            per_second: self.per_second(now) + 1.0 / TIME_CONSTANT.as_secs_f64(),
            at: now,
        };
    }

    /// Requests per second, as of `now`, if none was counted since.
    pub(crate) fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at);
        self.per_second * (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

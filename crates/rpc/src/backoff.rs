use rand::Rng;
use std::time::Duration;

/// Exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    first: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(first: Duration, max: Duration) -> Self {
        Backoff {
            first,
            max,
            failures: 0,
        }
    }

    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    ///
    /// The delay is drawn between 50% and 100% of the doubled interval, so that processes that
    /// failed at the same time do not retry at the same time.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let interval = (self.first * 2u32.pow(self.failures.min(10))).min(self.max);
        self.failures += 1;
        interval.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

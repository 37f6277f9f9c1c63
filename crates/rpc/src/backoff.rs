use rand::Rng;
use std::time::Duration;

/// Jittered exponential backoff.
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

    /// Time to wait after one more failure: between half and all of the doubled interval, so that
    /// processes that failed together do not return together.
    pub(crate) fn next(&mut self) -> Duration {
        let interval = (self.first * 2u32.pow(self.failures.min(10))).min(self.max);
        self.failures += 1;
        interval.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

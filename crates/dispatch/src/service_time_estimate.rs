use std::time::Duration;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Initial estimates before the first sample. They converge to the actual values within a few
/// responses.
const INITIAL_HIT_TIME: Duration = Duration::from_millis(120);
const INITIAL_MISS_TIME: Duration = Duration::from_millis(300);

/// Moving averages of the service time of a service's requests, without queueing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimeEstimate {
    hit_seconds: f64,
    miss_seconds: f64,
    mean_seconds: f64,
}

impl Default for ServiceTimeEstimate {
    fn default() -> Self {
        ServiceTimeEstimate {
            hit_seconds: INITIAL_HIT_TIME.as_secs_f64(),
            miss_seconds: INITIAL_MISS_TIME.as_secs_f64(),
            mean_seconds: INITIAL_MISS_TIME.as_secs_f64(),
        }
    }
}

impl ServiceTimeEstimate {
    /// Records the latency of a request that was queued behind `queue_per_slot` requests per slot.
    pub(crate) fn record(&mut self, hit: bool, queue_per_slot: f64, elapsed: Duration) {
        let service_time = elapsed.as_secs_f64() / (1.0 + queue_per_slot);
        self.mean_seconds += SAMPLE_WEIGHT * (service_time - self.mean_seconds);
        let average = match hit {
            true => &mut self.hit_seconds,
            false => &mut self.miss_seconds,
        };
        *average += SAMPLE_WEIGHT * (service_time - *average);
    }

    /// Mean service time of all requests, in seconds.
    pub(crate) fn mean_seconds(&self) -> f64 {
        self.mean_seconds
    }

    /// Expected service time in seconds. `hit` tells whether the object is in the endpoint's
    /// working set.
    pub(crate) fn expected_seconds(&self, hit: bool) -> f64 {
        match hit {
            true => self.hit_seconds.min(self.miss_seconds),
            false => self.miss_seconds,
        }
    }
}

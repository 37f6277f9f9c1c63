use crate::class_queue::ClassQueue;
use crate::cross_region_limiter::CrossRegionLimiter;
use std::time::Duration;

/// The owner's state of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: ClassQueue,
    /// Cross-region limiters, indexed by the home region of the client.
    pub(super) cross_region_limiters: Vec<CrossRegionLimiter>,
    /// Positions of the service's endpoints that this entry owns, in ascending order.
    pub(super) owned: Vec<usize>,
    /// Moving average of the time to first byte, in seconds.
    typical_latency_s: Option<f64>,
}

impl ServiceState {
    /// Weight of a new sample in the moving average. It is small so that a slow phase does not
    /// become the typical latency within seconds.
    const SMOOTHING_FACTOR: f64 = 0.02;
    /// Ratio to the typical latency above which an answer counts as slow.
    const SLOW_RATIO: f64 = 2.0;
    /// Latency in seconds up to which an answer never counts as slow.
    const MIN_SLOW_LATENCY_S: f64 = 0.005;
    /// Latency in seconds that is assumed before the first answer.
    const INITIAL_LATENCY_S: f64 = 0.005;

    pub(super) fn typical_latency_s(&self) -> f64 {
        self.typical_latency_s.unwrap_or(Self::INITIAL_LATENCY_S)
    }

    /// Records a time to first byte. Returns `false` if it counts as slow.
    pub(super) fn record_latency(&mut self, first_byte: Duration) -> bool {
        let sample_s = first_byte.as_secs_f64();
        let Some(typical_s) = self.typical_latency_s else {
            self.typical_latency_s = Some(sample_s);
            return true;
        };
        self.typical_latency_s = Some(typical_s + Self::SMOOTHING_FACTOR * (sample_s - typical_s));
        sample_s <= (typical_s * Self::SLOW_RATIO).max(Self::MIN_SLOW_LATENCY_S)
    }
}

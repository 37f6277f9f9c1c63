use crate::class_queue::ClassQueue;
use crate::cross_region_limiter::CrossRegion;
use std::time::Duration;

/// What the owner keeps for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceState {
    pub(super) queue: ClassQueue,
    /// By home region.
    pub(super) cross: Vec<CrossRegion>,
    /// Positions of the service's endpoints that this entry owns, in ascending order.
    pub(super) owned: Vec<usize>,
    /// Moving average of the time to the first byte.
    usual_s: Option<f64>,
}

impl ServiceState {
    /// Weight of a new sample in the usual latency. Small, so that a slow phase does not become the
    /// usual one within seconds.
    const ALPHA: f64 = 0.02;
    /// Factor over the usual latency above which an answer is slow.
    const SLOW_FACTOR: f64 = 2.0;
    /// Latency below which an answer is never slow, in seconds.
    const NEVER_SLOW_S: f64 = 0.005;
    /// Latency assumed before the first answer, in seconds.
    const ASSUMED_S: f64 = 0.005;

    pub(super) fn usual_s(&self) -> f64 {
        self.usual_s.unwrap_or(Self::ASSUMED_S)
    }

    /// Records the time to the first byte. Returns whether it is near the usual one.
    pub(super) fn record_latency(&mut self, first_byte: Duration) -> bool {
        let sample = first_byte.as_secs_f64();
        let Some(usual) = self.usual_s else {
            self.usual_s = Some(sample);
            return true;
        };
        self.usual_s = Some(usual + Self::ALPHA * (sample - usual));
        sample <= (usual * Self::SLOW_FACTOR).max(Self::NEVER_SLOW_S)
    }
}

use std::time::Duration;

/// Moving average of the fraction of attempts that were refused for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusalRatio {
    ratio: f64,
    updated: Duration,
}

impl RefusalRatio {
    /// Weight of a new sample.
    const SMOOTHING_FACTOR: f64 = 0.05;
    /// Time constant of the exponential decay while there are no results.
    const DECAY_TIME: Duration = Duration::from_secs(5);

    /// The ratio at `now`, from 0 to 1.
    pub(super) fn ratio(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.updated).as_secs_f64();
        self.ratio * (-idle / Self::DECAY_TIME.as_secs_f64()).exp()
    }

    /// Records whether an attempt was refused for lack of capacity.
    pub(super) fn record(&mut self, now: Duration, refused: bool) {
        let ratio = self.ratio(now);
        self.ratio = ratio + Self::SMOOTHING_FACTOR * (f64::from(u8::from(refused)) - ratio);
        self.updated = now;
    }
}

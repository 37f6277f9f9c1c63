use std::time::Duration;

/// Recent share of attempts that were refused for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    share: f64,
    updated: Duration,
}

impl Pressure {
    /// Weight of a new sample.
    const ALPHA: f64 = 0.05;
    /// Time constant with which the share fades when there are no results.
    const FADE: Duration = Duration::from_secs(5);

    /// The share at `now`, from 0 to 1.
    pub(super) fn share(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.updated).as_secs_f64();
        self.share * (-idle / Self::FADE.as_secs_f64()).exp()
    }

    /// Counts the result of an attempt.
    pub(super) fn record(&mut self, now: Duration, refused: bool) {
        let share = self.share(now);
        self.share = share + Self::ALPHA * (f64::from(u8::from(refused)) - share);
        self.updated = now;
    }
}

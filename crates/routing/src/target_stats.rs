use rand::Rng;
use std::time::Duration;

/// Own observations of one target: an owner that requests are forwarded to, or an endpoint.
///
/// Failures never lower the expected latency, so that a target that fails fast does not attract
/// traffic. The holder of a group of targets decides about ejection, because at most half of a
/// group may be ejected; see [`TargetStats::should_eject`].
#[derive(Clone, Debug)]
pub struct TargetStats {
    in_flight: u32,
    latency_s: Option<f64>,
    failure_rate: f64,
    samples: u32,
    consecutive_failures: u32,
    ejected_until: Duration,
    ejections: u32,
    ramp_from: Duration,
    observed_at: Duration,
}

impl TargetStats {
    /// Time over which a new or restored target ramps up.
    pub const SLOW_START_WINDOW: Duration = Duration::from_secs(5);
    /// Share of its usual work that a target gets at the start of the ramp.
    pub const MIN_SLOW_START_FRACTION: f64 = 0.1;
    /// Consecutive failures that lead to ejection.
    pub const EJECT_CONSECUTIVE: u32 = 5;
    /// Failure rate that leads to ejection after [`Self::EJECT_SAMPLES`] results.
    pub const EJECT_RATE: f64 = 0.5;
    /// Results needed before the failure rate counts.
    pub const EJECT_SAMPLES: u32 = 20;
    /// Length of the first ejection. It doubles with each further one, up to [`Self::EJECT_MAX`].
    pub const EJECT_BASE: Duration = Duration::from_secs(1);
    /// Longest ejection.
    pub const EJECT_MAX: Duration = Duration::from_secs(30);
    /// Age after which observations may be doubted, because the target may have recovered.
    pub const STALE_AFTER: Duration = Duration::from_secs(5);
    /// Weight of a new sample in the moving averages.
    const ALPHA: f64 = 0.1;
    /// Factor on the cost of a target whose attempts all fail.
    const FAILURE_COST: f64 = 20.0;

    /// A target without observations, which ramps up from `now`.
    pub fn new(now: Duration) -> Self {
        TargetStats {
            in_flight: 0,
            latency_s: None,
            failure_rate: 0.0,
            samples: 0,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            ejections: 0,
            ramp_from: now,
            observed_at: now,
        }
    }

    /// Attempts in flight from this process.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Moving average of the time to the first byte of successful answers, in seconds.
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Moving average of the share of failed attempts.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the last observation is so old that the target should be tried again.
    pub fn is_stale(&self, now: Duration) -> bool {
        now >= self.observed_at + Self::STALE_AFTER
    }

    /// Counts an attempt that was sent.
    pub fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an attempt as ended, without any conclusion about the target.
    pub fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the time to the first byte of an answer.
    pub fn record_latency(&mut self, now: Duration, latency: Duration) {
        self.observed_at = now;
        let sample = latency.as_secs_f64();
        self.latency_s = Some(match self.latency_s {
            Some(mean) => mean + Self::ALPHA * (sample - mean),
            None => sample,
        });
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, now: Duration) {
        self.observed_at = now;
        self.failure_rate *= 1.0 - Self::ALPHA;
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = 0;
        if self.samples >= Self::EJECT_SAMPLES && self.failure_rate < 0.01 {
            self.ejections = 0;
        }
    }

    /// Records a failed or timed out attempt.
    pub fn record_failure(&mut self, now: Duration) {
        self.observed_at = now;
        self.failure_rate += Self::ALPHA * (1.0 - self.failure_rate);
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether the failures are reason enough for an ejection.
    pub fn should_eject(&self) -> bool {
        self.consecutive_failures >= Self::EJECT_CONSECUTIVE
            || (self.samples >= Self::EJECT_SAMPLES && self.failure_rate > Self::EJECT_RATE)
    }

    /// Ejects the target for a jittered time, after which it ramps up again.
    pub fn eject<R>(&mut self, now: Duration, rng: &mut R)
    where
        R: Rng,
    {
        let base = Self::EJECT_BASE * (1 << self.ejections.min(5));
        let length = base
            .min(Self::EJECT_MAX)
            .mul_f64(rng.random_range(0.75..1.25));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = now + length;
        self.restart_slow_start(self.ejected_until);
    }

    /// Starts the ramp anew at `from` and forgets failures, so that they don't eject the target
    /// again before it is tried.
    pub fn restart_slow_start(&mut self, from: Duration) {
        self.ramp_from = from;
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Share of its usual work that the target gets: from [`Self::MIN_SLOW_START_FRACTION`] to 1.
    pub fn slow_start_fraction(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.ramp_from).as_secs_f64();
        (since / Self::SLOW_START_WINDOW.as_secs_f64()).clamp(Self::MIN_SLOW_START_FRACTION, 1.0)
    }

    /// Factor on the cost of the target: 1 without failures.
    pub fn failure_factor(&self) -> f64 {
        1.0 + Self::FAILURE_COST * self.failure_rate
    }

    /// Cost of one more attempt on a target with `slots` slots: lower is better. `usual_s` stands
    /// in for the latency of a target without observations.
    pub fn cost(&self, slots: u32, usual_s: f64) -> f64 {
        let load = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        let latency = self.latency_s.unwrap_or(usual_s).max(1e-6);
        load * latency * self.failure_factor()
    }
}

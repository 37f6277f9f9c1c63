use rand::Rng;
use std::time::Duration;

/// Observations of one target by this process. A target is an owner that receives forwarded
/// requests, or an endpoint.
///
/// Failures never lower the expected latency, so a target that fails fast does not attract traffic.
/// The caller that holds a group of targets decides on ejections, because at most half of a group
/// may be ejected. See [`TargetStats::should_eject`].
#[derive(Clone, Debug)]
pub struct TargetStats {
    in_flight: u32,
    latency_s: Option<f64>,
    failure_rate: f64,
    samples: u32,
    consecutive_failures: u32,
    ejected_until: Duration,
    ejections: u32,
    slow_start_from: Duration,
    observed_at: Duration,
}

impl TargetStats {
    /// Slow start window: the time over which the load of a new or restored target grows to normal.
    pub const SLOW_START_WINDOW: Duration = Duration::from_secs(5);
    /// Fraction of its normal load that a target receives at the beginning of slow start.
    pub const MIN_SLOW_START_FRACTION: f64 = 0.1;
    /// Number of consecutive failures that leads to ejection.
    pub const EJECT_CONSECUTIVE_FAILURES: u32 = 5;
    /// Fraction of failed attempts above which a target is ejected, once there are
    /// [`Self::EJECT_MIN_SAMPLES`] results.
    pub const EJECT_FAILURE_RATE: f64 = 0.5;
    /// Number of results from which the failure rate is taken into account.
    pub const EJECT_MIN_SAMPLES: u32 = 20;
    /// Duration of the first ejection. It doubles with each further ejection, up to
    /// [`Self::MAX_EJECTION_TIME`].
    pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);
    /// Longest ejection before jitter.
    pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
    /// Age from which observations are stale, because the target may have recovered.
    pub const STALE_AFTER: Duration = Duration::from_secs(5);
    /// Weight of a new sample in the exponential moving averages.
    const SMOOTHING_FACTOR: f64 = 0.1;
    /// Weight of the failure rate in the cost of a target. If all attempts fail, the cost is
    /// multiplied by 1 plus this weight.
    const FAILURE_RATE_WEIGHT: f64 = 20.0;

    /// Creates a target without observations, whose slow start begins at `now`.
    pub fn new(now: Duration) -> Self {
        TargetStats {
            in_flight: 0,
            latency_s: None,
            failure_rate: 0.0,
            samples: 0,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            ejections: 0,
            slow_start_from: now,
            observed_at: now,
        }
    }

    /// Number of attempts of this process that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Moving average of the time to the first byte of successful responses, in seconds.
    pub fn latency_s(&self) -> Option<f64> {
        self.latency_s
    }

    /// Moving average of the fraction of failed attempts.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the last observation is at least [`Self::STALE_AFTER`] old.
    pub fn is_stale(&self, now: Duration) -> bool {
        now >= self.observed_at + Self::STALE_AFTER
    }

    /// Counts an attempt as in flight.
    pub fn start_attempt(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an attempt as no longer in flight. Its result is recorded separately.
    pub fn end_attempt(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the time to the first byte of a response.
    pub fn record_latency(&mut self, now: Duration, latency: Duration) {
        self.observed_at = now;
        let sample = latency.as_secs_f64();
        self.latency_s = Some(match self.latency_s {
            Some(mean) => mean + Self::SMOOTHING_FACTOR * (sample - mean),
            None => sample,
        });
    }

    /// Records a complete response.
    pub fn record_success(&mut self, now: Duration) {
        self.observed_at = now;
        self.failure_rate *= 1.0 - Self::SMOOTHING_FACTOR;
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = 0;
        if self.samples >= Self::EJECT_MIN_SAMPLES && self.failure_rate < 0.01 {
            self.ejections = 0;
        }
    }

    /// Records an attempt that failed or timed out.
    pub fn record_failure(&mut self, now: Duration) {
        self.observed_at = now;
        self.failure_rate += Self::SMOOTHING_FACTOR * (1.0 - self.failure_rate);
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Whether the recorded failures justify an ejection.
    pub fn should_eject(&self) -> bool {
        self.consecutive_failures >= Self::EJECT_CONSECUTIVE_FAILURES
            || (self.samples >= Self::EJECT_MIN_SAMPLES
                && self.failure_rate > Self::EJECT_FAILURE_RATE)
    }

    /// Ejects the target for a jittered time, after which its slow start begins.
    pub fn eject<R>(&mut self, now: Duration, rng: &mut R)
    where
        R: Rng,
    {
        let base = Self::BASE_EJECTION_TIME * (1 << self.ejections.min(5));
        let duration = base
            .min(Self::MAX_EJECTION_TIME)
            .mul_f64(rng.random_range(0.75..1.25));
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = now + duration;
        self.restart_slow_start(self.ejected_until);
    }

    /// Restarts slow start at `from` and resets the failure counts, so that old failures do not
    /// eject the target again before it is tried.
    pub fn restart_slow_start(&mut self, from: Duration) {
        self.slow_start_from = from;
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Fraction of its normal load that the target should receive, from
    /// [`Self::MIN_SLOW_START_FRACTION`] to 1.
    pub fn slow_start_fraction(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.slow_start_from).as_secs_f64();
        (since / Self::SLOW_START_WINDOW.as_secs_f64()).clamp(Self::MIN_SLOW_START_FRACTION, 1.0)
    }

    /// Factor by which failures raise the cost of the target: 1 without failures.
    pub fn failure_factor(&self) -> f64 {
        1.0 + Self::FAILURE_RATE_WEIGHT * self.failure_rate
    }

    /// Cost of one more attempt on a target with `slots` slots; lower is better.
    /// `default_latency_s` is the latency assumed for a target without observations.
    pub fn cost(&self, slots: u32, default_latency_s: f64) -> f64 {
        let load = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        let latency = self.latency_s.unwrap_or(default_latency_s).max(1e-6);
        load * latency * self.failure_factor()
    }
}

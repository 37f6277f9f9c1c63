use std::time::Duration;

/// Limits the rate of the requests that this entry sends to a cold endpoint.
///
/// All entries of a region share the rate that the endpoint tolerates. Each entry sends one request
/// per interval. Its first request is delayed by a random fraction of the interval, so that the
/// entries do not all start at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdRateLimiter {
    next_send: Option<Duration>,
}

impl ColdRateLimiter {
    /// Returns whether a request may be sent now. `jitter`, from 0 to 1, is the fraction of the
    /// interval by which the first request is delayed.
    pub(crate) fn allows(&mut self, now: Duration, interval: Duration, jitter: f64) -> bool {
        let next_send = *self.next_send.get_or_insert(now + interval.mul_f64(jitter));
        now >= next_send
    }

    /// Delays the first request until `first_send_at`.
    pub(crate) fn start(&mut self, first_send_at: Duration) {
        self.next_send = Some(first_send_at);
    }

    /// Records a sent request.
    pub(crate) fn record_send(&mut self, now: Duration, interval: Duration) {
        self.next_send = Some(now + interval);
    }

    /// Resets the limiter when the endpoint is warm or a new cold start begins.
    pub(crate) fn reset(&mut self) {
        self.next_send = None;
    }
}

/// Interval between the requests of one entry to a cold endpoint that tolerates `rate` requests per
/// second from `entries` entries together.
pub(crate) fn send_interval(rate: f64, entries: u32) -> Duration {
    // At a lower rate, an endpoint would receive no request at all during its cold start.
    const MIN_REQUESTS_PER_SECOND: f64 = 1.0 / 60.0;
    let entry_rate = (rate / f64::from(entries.max(1))).max(MIN_REQUESTS_PER_SECOND);
    Duration::from_secs_f64(1.0 / entry_rate)
}

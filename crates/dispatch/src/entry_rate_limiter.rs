use std::time::Duration;

/// Limits the rate of the requests that this entry sends to an endpoint whose rate limit all entries
/// share.
///
/// Each entry sends one request per interval. Its first request is delayed by a random fraction of
/// the interval, so that the entries do not all start at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryRateLimiter {
    next_send: Option<Duration>,
}

impl EntryRateLimiter {
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

    /// Resets the limiter when the limit ends or a new one begins.
    pub(crate) fn reset(&mut self) {
        self.next_send = None;
    }
}

/// Interval between the requests of one entry to an endpoint that takes `rate` requests per second
/// from `entries` entries together, but at most `max_interval`.
pub(crate) fn send_interval(rate: f64, entries: u32, max_interval: Duration) -> Duration {
    let entry_rate = rate / f64::from(entries.max(1));
    let interval = Duration::try_from_secs_f64(1.0 / entry_rate);
    interval.unwrap_or(max_interval).min(max_interval)
}

use std::time::Duration;

/// Pace of the requests that one entry sends to a cold endpoint.
///
/// All entries of a region share the rate that the endpoint tolerates. Each sends one request per
/// interval, from a random moment of the first interval on, so that they do not start together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdAllowance {
    next: Option<Duration>,
}

impl ColdAllowance {
    /// Whether a request may be sent now. `offset` from 0 to 1 sets the moment of the first one.
    pub(crate) fn allows(&mut self, now: Duration, interval: Duration, offset: f64) -> bool {
        let next = *self.next.get_or_insert(now + interval.mul_f64(offset));
        now >= next
    }

    /// Counts a request.
    pub(crate) fn sent(&mut self, now: Duration, interval: Duration) {
        self.next = Some(now + interval);
    }

    /// Forgets the pace; the endpoint is warm.
    pub(crate) fn reset(&mut self) {
        self.next = None;
    }
}

/// Interval between the requests of one of `entries` to an endpoint that tolerates `rate` a second
/// from all of them.
pub(crate) fn interval(rate: f64, entries: u32) -> Duration {
    // Below one request in a minute, an endpoint gets no request while it is cold.
    const SLOWEST: f64 = 1.0 / 60.0;
    let own = (rate / f64::from(entries.max(1))).max(SLOWEST);
    Duration::from_secs_f64(1.0 / own)
}

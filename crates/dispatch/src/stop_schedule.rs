use std::time::Duration;

/// Time before the kill at which the entry starts to refuse all new requests. Callers have learned
/// of the stop by then.
const REFUSE_NEW_BEFORE_KILL: Duration = Duration::from_millis(1800);

/// Time before the kill at which the process exits even if requests are in progress.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(250);

/// Fraction of the grace period in which callers may still be directed here by a lookup result from
/// before the stop.
const REDIRECT_FRACTION: f64 = 0.5;

/// Factor on the expected latency of a request whose deadline is after the exit. Requests take
/// longer than expected if the endpoint does not have their object in its working set.
const LATENCY_MARGIN_FACTOR: u32 = 2;

/// Schedule of a graceful stop: which requests may be sent during it. Times are on the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    started_at: Duration,
    grace_period: Duration,
}

impl StopSchedule {
    /// Schedule of a stop that started at `started_at`, `grace_period` before the process is
    /// killed.
    pub fn new(started_at: Duration, grace_period: Duration) -> Self {
        StopSchedule {
            started_at,
            grace_period,
        }
    }

    /// When the entry starts to refuse all new requests.
    pub fn refuse_new_at(&self) -> Duration {
        self.started_at + self.grace_period.saturating_sub(REFUSE_NEW_BEFORE_KILL)
    }

    /// When the process exits at the latest. A request in progress at that time is lost.
    pub fn exit_at(&self) -> Duration {
        self.started_at + self.grace_period.saturating_sub(EXIT_BEFORE_KILL)
    }

    /// Longest expected latency with which a request with this deadline is sent to an endpoint at
    /// `now`; zero if it must not be sent.
    ///
    /// A request whose deadline is before the exit cannot be lost. Any other is sent only while its
    /// caller may not know another entry, and only if it is expected to complete well before the
    /// exit.
    pub fn latency_limit(&self, now: Duration, deadline: Duration) -> Duration {
        let redirect_ends_at = self.started_at + self.grace_period.mul_f64(REDIRECT_FRACTION);
        if deadline <= self.exit_at() {
            return deadline.saturating_sub(now);
        }
        match now < redirect_ends_at {
            true => self.exit_at().saturating_sub(now) / LATENCY_MARGIN_FACTOR,
            false => Duration::ZERO,
        }
    }
}

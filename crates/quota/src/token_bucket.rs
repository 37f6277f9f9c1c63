use crate::LinkGrant;
use std::time::Duration;

/// A token bucket in bytes that starts empty and hands out waits instead of refusals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    /// Longest wait that is granted, in bursts. Bounds what is still sent at the old rate after the
    /// rate was lowered.
    const MAX_DEBT_BURSTS: f64 = 10.0;

    pub(crate) fn new(now: Duration) -> Self {
        TokenBucket {
            rate: 0.0,
            burst: 0.0,
            tokens: 0.0,
            updated: now,
        }
    }

    /// Sets the rate in bytes per second, and the burst as a time at this rate.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: f64, burst: Duration) {
        self.refill(now);
        self.rate = rate;
        self.burst = (rate * burst.as_secs_f64()).floor().max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
    }

    /// Takes up to one burst. A grant of no bytes means that too much is waiting already.
    pub(crate) fn reserve(&mut self, now: Duration, bytes: u64) -> LinkGrant {
        self.refill(now);
        if self.tokens < -Self::MAX_DEBT_BURSTS * self.burst {
            let wait = self.time_for(-self.tokens - Self::MAX_DEBT_BURSTS * self.burst);
            return LinkGrant { bytes: 0, wait };
        }
        let granted = bytes.min(self.burst as u64);
        self.tokens -= granted as f64;
        LinkGrant {
            bytes: granted,
            wait: self.time_for(-self.tokens),
        }
    }

    /// Time in which `bytes` are earned, rounded up so that nothing is sent early.
    fn time_for(&self, bytes: f64) -> Duration {
        let nanos = (bytes.max(0.0) / self.rate.max(1e-3) * 1e9).ceil();
        Duration::from_nanos(nanos as u64)
    }
}

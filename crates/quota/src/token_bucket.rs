use crate::LinkGrant;
use std::time::Duration;

/// A token bucket for bytes. It starts empty and delays a sender instead of refusing it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Bytes per second.
    rate: f64,
    burst_bytes: f64,
    /// Available bytes; negative for bytes that were granted ahead of time.
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Maximum debt, in bursts, at which more bytes are granted. It bounds the bytes that are still
    /// sent at the old rate after the rate is lowered.
    const MAX_DEBT_BURSTS: f64 = 10.0;

    pub(crate) fn new(now: Duration) -> Self {
        TokenBucket {
            rate: 0.0,
            burst_bytes: 0.0,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Sets the rate in bytes per second. The burst is given as the time to send it at this rate.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: f64, burst: Duration) {
        self.refill(now);
        self.rate = rate;
        self.burst_bytes = (rate * burst.as_secs_f64()).floor().max(1.0);
        self.tokens = self.tokens.min(self.burst_bytes);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst_bytes);
    }

    /// Reserves up to one burst. A grant of zero bytes means that the debt is too high; try again
    /// after the wait.
    pub(crate) fn reserve(&mut self, now: Duration, bytes: u64) -> LinkGrant {
        self.refill(now);
        if self.tokens < -Self::MAX_DEBT_BURSTS * self.burst_bytes {
            let wait = self.refill_time(-self.tokens - Self::MAX_DEBT_BURSTS * self.burst_bytes);
            return LinkGrant { bytes: 0, wait };
        }
        let granted = bytes.min(self.burst_bytes as u64);
        self.tokens -= granted as f64;
        LinkGrant {
            bytes: granted,
            wait: self.refill_time(-self.tokens),
        }
    }

    /// Time to refill `bytes`, rounded up so that nothing is sent early.
    fn refill_time(&self, bytes: f64) -> Duration {
        let nanos = (bytes.max(0.0) / self.rate.max(1e-3) * 1e9).ceil();
        Duration::from_nanos(nanos as u64)
    }
}

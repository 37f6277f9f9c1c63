use mangospindle_model::Allowance;
use std::time::Duration;

/// Time that entries have to learn that a workspace has tokens again.
const LEARNING_TIME: Duration = Duration::from_secs(1);

/// One token bucket for the whole deployment, without any delay.
pub(super) struct Reference {
    allowance: Allowance,
    level: f64,
    at: Duration,
    /// Time until which the bucket held less than a token.
    empty_until: Option<Duration>,
}

impl Reference {
    pub(super) fn new(allowance: Allowance) -> Self {
        Reference {
            allowance,
            level: allowance.burst,
            at: Duration::ZERO,
            empty_until: None,
        }
    }

    pub(super) fn set_allowance(&mut self, now: Duration, allowance: Allowance) {
        self.charge(now, 0.0);
        self.allowance = allowance;
        self.charge(now, 0.0);
    }

    /// Takes tokens for an admitted request.
    pub(super) fn charge(&mut self, now: Duration, tokens: f64) {
        let refill = (now - self.at).as_secs_f64() * self.allowance.rate;
        self.level = (self.level + refill).min(self.allowance.burst) - tokens;
        self.at = now;
        if self.level < 1.0 {
            let missing = (1.0 - self.level) / self.allowance.rate;
            self.empty_until = Some(now + Duration::from_secs_f64(missing));
        }
    }

    /// Whether the bucket held a token during all of the last second, so that a rejection is wrong.
    pub(super) fn had_tokens(&self, now: Duration) -> bool {
        (self.empty_until).is_none_or(|until| now >= until + LEARNING_TIME)
    }
}

/// Attempts that a service may make in addition to first attempts.
///
/// Each first attempt adds a fraction of a token and each retry or hedge takes a whole one, so that
/// a failing service does not receive a multiple of its usual load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    max: f64,
}

impl RetryBudget {
    /// Most tokens that are saved up, and the number that a budget starts with. Allows a few
    /// retries at low request rates.
    pub const MAX_TOKENS: f64 = 10.0;

    /// A full budget.
    pub fn new() -> Self {
        Self::with_capacity(Self::MAX_TOKENS)
    }

    /// A full budget that saves up to `max` tokens.
    pub fn with_capacity(max: f64) -> Self {
        RetryBudget { tokens: max, max }
    }

    /// Tokens that are left.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self, fraction: f64) {
        self.tokens = (self.tokens + fraction.max(0.0)).min(self.max);
    }

    /// Takes one token if there is one.
    pub fn withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Token bucket that limits retries and hedges in proportion to first attempts.
///
/// Each first attempt adds a fraction of a token, and each retry or hedge takes a whole token. A
/// failing service therefore does not receive a multiple of its usual load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Default capacity in tokens. A budget starts full, which allows a few retries at low request
    /// rates.
    pub const MAX_TOKENS: f64 = 10.0;

    /// Creates a full budget with a capacity of [`Self::MAX_TOKENS`].
    pub fn new() -> Self {
        Self::with_capacity(Self::MAX_TOKENS)
    }

    /// Creates a full budget that holds up to `capacity` tokens.
    pub fn with_capacity(capacity: f64) -> Self {
        RetryBudget {
            tokens: capacity,
            capacity,
        }
    }

    /// Number of available tokens.
    pub fn remaining(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens earned by one first attempt: `fraction`, or none if it is negative.
    pub fn deposit(&mut self, fraction: f64) {
        self.tokens = (self.tokens + fraction.max(0.0)).min(self.capacity);
    }

    /// Takes one token. Returns `false` if less than one token is available.
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

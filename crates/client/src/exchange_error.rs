use crate::BodyError;
use std::fmt;

/// Why an exchange has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection failed or was closed before the answer started.
    Closed,
    /// The answer is not valid HTTP, or its end could not be recognized.
    Malformed,
    /// The answer ended before its end.
    Truncated,
    /// The body of the request could not be read.
    Body(BodyError),
}

impl ExchangeError {
    /// Stable name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ExchangeError::Closed => "closed",
            ExchangeError::Malformed => "malformed",
            ExchangeError::Truncated => "truncated",
            ExchangeError::Body(BodyError::Incomplete) => "body_incomplete",
            ExchangeError::Body(BodyError::LengthMismatch) => "body_length_mismatch",
        }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for ExchangeError {}

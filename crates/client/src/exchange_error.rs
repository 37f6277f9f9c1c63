use crate::BodyError;
use std::fmt;

/// Error of an exchange that has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection failed or was closed before the response head.
    Closed,
    /// The request or the response is not valid HTTP, or the end of the response is not marked.
    Malformed,
    /// The connection failed or was closed before the end of the response.
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

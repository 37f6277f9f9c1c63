use mangospindle_model::{CanHaveRun, ErrorKind};
use std::time::Duration;

/// An error that ends a request and becomes an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) kind: ErrorKind,
    /// Human-readable details.
    pub(crate) detail: String,
    /// `Retry-After` with jitter, for the kinds that have one.
    pub(crate) retry_after: Duration,
}

impl RequestError {
    /// Creates an error with the minimum `Retry-After`.
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        RequestError {
            kind,
            detail: detail.into(),
            retry_after: Duration::from_secs(1),
        }
    }

    /// Whether it is certain that the request did not run.
    pub(crate) fn did_not_run(&self) -> bool {
        self.kind.row().can_have_run == CanHaveRun::No
    }
}

impl From<ErrorKind> for RequestError {
    fn from(kind: ErrorKind) -> Self {
        RequestError::new(kind, "")
    }
}

use mangospindle_model::{CanHaveRun, ErrorKind};
use std::time::Duration;

/// An error answer that has not been sent yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestError {
    pub(crate) kind: ErrorKind,
    /// Details for people.
    pub(crate) detail: String,
    /// Jittered wait for the kinds that carry one.
    pub(crate) retry_after: Duration,
}

impl RequestError {
    /// A refusal with the shortest `Retry-After`.
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        RequestError {
            kind,
            detail: detail.into(),
            retry_after: Duration::from_secs(1),
        }
    }

    /// Whether the request provably did not run.
    pub(crate) fn did_not_run(&self) -> bool {
        self.kind.row().can_have_run == CanHaveRun::No
    }
}

impl From<ErrorKind> for RequestError {
    fn from(kind: ErrorKind) -> Self {
        RequestError::new(kind, "")
    }
}

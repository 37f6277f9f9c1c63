use std::time::Duration;

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no usable endpoint that was not tried yet.
    NoEndpoint,
    /// No endpoint is expected to respond in time.
    TooLate,
    /// The entry is stopping, and the request might not complete before it exits.
    Stopping,
    /// The budget for retries and hedged requests is exhausted.
    NoRetryBudget,
}

impl RefusalReason {
    /// Stable name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoEndpoint => "no_endpoint",
            RefusalReason::TooLate => "too_late",
            RefusalReason::Stopping => "stopping",
            RefusalReason::NoRetryBudget => "no_retry_budget",
        }
    }
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

use std::time::Duration;

/// Why a request is not sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service has no usable endpoint, apart from those that were tried.
    NoEndpoint,
    /// No endpoint is expected to answer in time.
    TooLate,
    /// The budget for second sends is used up.
    NoRetryBudget,
}

impl RefusalReason {
    /// Stable name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::NoEndpoint => "no_endpoint",
            RefusalReason::TooLate => "too_late",
            RefusalReason::NoRetryBudget => "no_retry_budget",
        }
    }
}

/// A request that is not sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Duration,
}

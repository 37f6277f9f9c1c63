use std::time::Duration;

/// Decision after a failed or refused attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Wait for the delay, then call [`Router::choose_owner`](crate::Router::choose_owner) again.
    Retry {
        /// Jittered delay before the next attempt.
        delay: Duration,
    },
    /// Return the error to the caller.
    GiveUp,
}

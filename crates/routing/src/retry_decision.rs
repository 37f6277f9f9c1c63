use std::time::Duration;

/// What to do after a failed or refused attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Ask [`Router::choose_owner`](crate::Router::choose_owner) for another owner after the delay.
    Retry {
        /// Jittered wait before the next attempt.
        delay: Duration,
    },
    /// Return the error to the caller.
    GiveUp,
}

use mangospindle_model::ErrorKind;
use std::time::Duration;

/// Observation of an owner by an entry.
///
/// Every attempt for which [`Router`](crate::Router) chose an owner ends with exactly one of
/// `ResponseComplete`, `Refused`, `Failed`, `TimedOut` and `Cancelled`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// The first byte of the response arrived.
    ResponseStarted {
        /// Time since the attempt was sent.
        after: Duration,
    },
    /// The last byte of the response arrived.
    ResponseComplete {
        /// Time since the attempt was sent.
        after: Duration,
    },
    /// The owner refused the request.
    Refused {
        /// Reason for the refusal.
        kind: ErrorKind,
    },
    /// The attempt failed at the owner or at its endpoint.
    Failed,
    /// No response arrived within the attempt's timeout.
    TimedOut,
    /// The attempt was cancelled for a reason unrelated to the owner: the caller disconnected, or
    /// the other attempt of a hedged request was faster.
    Cancelled,
    /// The owner reported the number of free slots on its endpoints of the service.
    FreeSlots {
        /// Number of free slots.
        free: u32,
    },
}

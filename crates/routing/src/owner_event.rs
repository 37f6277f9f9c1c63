use mangospindle_model::ErrorKind;
use std::time::Duration;

/// What an entry observed about an owner. Every attempt that [`Router`](crate::Router) chose an
/// owner for ends with exactly one of `ResponseComplete`, `Refused`, `Failed`, `TimedOut` and
/// `Cancelled`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerEvent {
    /// The first byte of the answer arrived.
    ResponseStarted {
        /// Time since the attempt was sent.
        after: Duration,
    },
    /// The last byte of the answer arrived.
    ResponseComplete {
        /// Time since the attempt was sent.
        after: Duration,
    },
    /// The owner refused the request.
    Refused {
        /// Reason of the refusal.
        kind: ErrorKind,
    },
    /// The owner or its endpoint failed the attempt.
    Failed,
    /// No answer arrived within the attempt's timeout.
    TimedOut,
    /// The attempt was given up for a reason that says nothing about the owner: the caller
    /// disconnected, or the other attempt of a hedge was faster.
    Cancelled,
    /// The owner reported the free slots of its endpoints of the service.
    FreeSlots {
        /// Number of free slots.
        free: u32,
    },
}

use crate::{Permit, Ticket};
use mangospindle_model::ErrorKind;

/// Result of an [`AdmissionRequest`](crate::AdmissionRequest).
#[derive(Debug)]
pub enum Decision {
    /// The request has a slot and must be sent to the permit's endpoint now.
    Dispatch(Permit),
    /// The request waits for a slot. An [`Action`](crate::Action) with the ticket follows.
    Queued(Ticket),
    /// The request was refused without being sent.
    Refused(ErrorKind),
}

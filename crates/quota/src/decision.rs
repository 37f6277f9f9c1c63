use crate::{Permit, Ticket};
use mangospindle_model::ErrorKind;

/// Answer to an [`AdmissionRequest`](crate::AdmissionRequest).
#[derive(Debug)]
pub enum Decision {
    /// Send the request to the permit's endpoint now.
    Dispatch(Permit),
    /// The request waits for a slot; an [`Action`](crate::Action) with the ticket follows.
    Queued(Ticket),
    /// The request was refused and did not run.
    Refused(ErrorKind),
}

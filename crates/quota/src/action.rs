use crate::{Permit, Ticket};
use mangospindle_model::{EndpointId, ErrorKind};
use std::time::Duration;

/// What the owner process must do as a consequence of an event.
#[derive(Debug)]
pub enum Action {
    /// Send the queued request to the permit's endpoint.
    Dispatch {
        /// The queued request.
        ticket: Ticket,
        /// The right to send it.
        permit: Permit,
    },
    /// Refuse the queued request.
    Refuse {
        /// The queued request.
        ticket: Ticket,
        /// Reason of the refusal.
        kind: ErrorKind,
    },
    /// A leaving endpoint has become idle.
    Drained {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time since the drain started.
        drain_time: Duration,
    },
    /// Close the idle connections to an endpoint that is about to be released. Later connections
    /// are refused.
    CloseConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Propose the release of the endpoint until its ownership changes. Nothing is dispatched to it
    /// under this epoch again.
    ReadyToRelease {
        /// The endpoint.
        endpoint: EndpointId,
        /// Epoch of the ownership to release.
        epoch: u64,
    },
}

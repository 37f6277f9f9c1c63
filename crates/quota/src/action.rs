use crate::{Permit, Ticket};
use mangospindle_model::{EndpointId, ErrorKind};
use std::time::Duration;

/// What the owner process must do after an event.
#[derive(Debug)]
pub enum Action {
    /// Send the queued request to the permit's endpoint.
    Dispatch {
        /// The queued request.
        ticket: Ticket,
        /// Permission to send it.
        permit: Permit,
    },
    /// Refuse the queued request.
    Refuse {
        /// The queued request.
        ticket: Ticket,
        /// Reason for the refusal.
        kind: ErrorKind,
    },
    /// A leaving endpoint has become idle.
    Drained {
        /// The endpoint.
        endpoint: EndpointId,
        /// Time from the start of the drain until the endpoint became idle.
        drain_time: Duration,
    },
    /// Close the idle connections to an endpoint that is about to be released. Later connections
    /// are refused.
    CloseConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Propose the release of the endpoint repeatedly until its ownership changes. Nothing more is
    /// dispatched to it under this epoch.
    ReadyToRelease {
        /// The endpoint.
        endpoint: EndpointId,
        /// Epoch of the ownership to release.
        epoch: u64,
    },
}

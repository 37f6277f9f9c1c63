use crate::LoadReading;
use std::time::Duration;

/// Outcome of sending a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint responded.
    Answered {
        /// Time from sending the request to the start of the response.
        elapsed: Duration,
        /// Load reported in the response.
        load: Option<LoadReading>,
    },
    /// The endpoint ran the request and responded with an error.
    EndpointError {
        /// Load reported in the response.
        load: Option<LoadReading>,
    },
    /// The endpoint responded that it did not run the request.
    Rejected {
        /// Load reported in the response.
        load: Option<LoadReading>,
    },
    /// Another endpoint now listens at the address.
    Misdirected,
    /// No connection could be opened. Nothing was sent.
    Unreachable,
    /// The response is not valid or incomplete, or its connection was closed while others are open.
    Failed,
    /// The connection was closed before the response, and none is open. The endpoint may have
    /// restarted.
    Disconnected,
    /// The idle connections were closed early by the endpoint, which may have restarted. Nothing was sent.
    ClosedWhileIdle,
    /// The endpoint rejected the check of a connection before the request. Nothing was sent.
    CheckRejected {
        /// Load reported in the rejection.
        load: Option<LoadReading>,
    },
    /// The endpoint did not answer the check of a connection before the request. Nothing was sent.
    CheckTimedOut,
    /// The endpoint did not respond in time.
    TimedOut,
    /// The attempt was cancelled, for example because the caller disconnected.
    Cancelled,
}

impl Outcome {
    /// Whether the endpoint may have restarted.
    pub fn is_sign_of_restart(&self) -> bool {
        match self {
            Outcome::Unreachable | Outcome::Disconnected | Outcome::ClosedWhileIdle => true,
            Outcome::Answered { .. }
            | Outcome::EndpointError { .. }
            | Outcome::Rejected { .. }
            | Outcome::Misdirected
            | Outcome::Failed
            | Outcome::CheckRejected { .. }
            | Outcome::CheckTimedOut
            | Outcome::TimedOut
            | Outcome::Cancelled => false,
        }
    }

    /// Load that the endpoint reported, if it responded with one.
    pub(crate) fn load(&self) -> Option<LoadReading> {
        match self {
            Outcome::Answered { load, .. }
            | Outcome::EndpointError { load }
            | Outcome::Rejected { load }
            | Outcome::CheckRejected { load } => *load,
            Outcome::Misdirected
            | Outcome::Unreachable
            | Outcome::Failed
            | Outcome::Disconnected
            | Outcome::ClosedWhileIdle
            | Outcome::CheckTimedOut
            | Outcome::TimedOut
            | Outcome::Cancelled => None,
        }
    }
}

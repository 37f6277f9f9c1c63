use crate::LoadReading;
use std::time::Duration;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint answered after `elapsed`.
    Answered {
        /// Time from sending to the start of the answer.
        elapsed: Duration,
        /// Load that the endpoint reported.
        load: Option<LoadReading>,
    },
    /// The endpoint ran the request and answered with an error of its own.
    EndpointError {
        /// Load that the endpoint reported.
        load: Option<LoadReading>,
    },
    /// The endpoint said that it did not run the request.
    Rejected {
        /// Load that the endpoint reported.
        load: Option<LoadReading>,
    },
    /// Another endpoint has the address.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// The connection failed after the request was sent.
    Failed,
    /// There was no answer in time.
    TimedOut,
    /// The caller has gone.
    Cancelled,
}

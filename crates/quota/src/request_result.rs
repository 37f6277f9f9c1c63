use std::time::Duration;

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// A complete answer of the endpoint.
    Answered {
        /// Time from the dispatch to the first byte of the answer.
        first_byte: Duration,
    },
    /// The endpoint refused the request because it is full or leaving.
    Shed,
    /// The endpoint or the connection to it failed.
    Failed,
    /// The endpoint gave no answer in time.
    TimedOut,
    /// The caller gave up or was too slow; this says nothing about the endpoint.
    Cancelled,
}

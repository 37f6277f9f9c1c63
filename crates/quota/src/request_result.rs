use std::time::Duration;

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The endpoint gave a complete answer.
    Answered {
        /// Time to first byte, counted from the dispatch.
        first_byte: Duration,
    },
    /// The endpoint refused the request because it is full or leaving.
    Shed,
    /// The endpoint or the connection to it failed.
    Failed,
    /// The endpoint did not answer in time.
    TimedOut,
    /// The caller gave up or was too slow. This says nothing about the endpoint's health.
    Cancelled,
}

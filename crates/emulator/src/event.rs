use mangospindle_dispatch::{LoadReading, SendTicket};
use std::time::Duration;

/// State of a request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) domain: usize,
    pub(crate) entry: usize,
    pub(crate) object: u64,
    /// Time of the first submission, before any retry by the caller.
    pub(crate) submitted_at: Duration,
    pub(crate) deadline: Duration,
    /// Whether the caller has retried after a refusal.
    pub(crate) caller_retried: bool,
    /// Indices of the endpoints that the request was sent to.
    pub(crate) sent_to: Vec<usize>,
    pub(crate) ticket: Option<SendTicket>,
    pub(crate) sent_at: Duration,
    pub(crate) done: bool,
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A caller in a failure domain submits a request of a class.
    CallerArrival { class: usize, domain: usize },
    /// A caller retries after a refusal.
    CallerRetry { request: usize },
    /// A request reaches an endpoint.
    Delivery { request: usize, endpoint: usize },
    /// An endpoint completes a request. Ignored if the endpoint no longer runs it.
    Completion {
        request: usize,
        endpoint: usize,
        incarnation: u64,
    },
    /// A response reaches the entry.
    Response {
        request: usize,
        rejected: bool,
        load: LoadReading,
    },
    /// An entry detects that an endpoint has stopped.
    ConnectionError { request: usize, unreachable: bool },
    /// The deadline of the caller expires.
    Deadline { request: usize },
    /// The scenario change with this index takes effect.
    Change(usize),
    /// Entries receive the current endpoint list and routes.
    EndpointListUpdate,
}

use mangospindle_dispatch::{LoadReading, SendTicket};
use std::time::Duration;

/// A request of a caller, with what has happened to it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) place: usize,
    pub(crate) entry: usize,
    pub(crate) object: u64,
    /// When the caller asked for the first time.
    pub(crate) asked_at: Duration,
    pub(crate) deadline: Duration,
    /// Whether the caller has come back after a refusal.
    pub(crate) returned: bool,
    /// Endpoints that it was sent to, by position.
    pub(crate) sent_to: Vec<usize>,
    pub(crate) ticket: Option<SendTicket>,
    pub(crate) sent_at: Duration,
    pub(crate) done: bool,
}

/// What happens next.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A new caller of a class in a place.
    Ask { class: usize, place: usize },
    /// A caller comes back after a refusal.
    Return { request: usize },
    /// A request reaches an endpoint.
    Arrive { request: usize, endpoint: usize },
    /// An endpoint has finished a request, if it still runs it.
    Finish {
        request: usize,
        endpoint: usize,
        start: u64,
    },
    /// An answer reaches the entry.
    Answer {
        request: usize,
        rejected: bool,
        load: LoadReading,
    },
    /// An entry notices that an endpoint is gone.
    Broken { request: usize, unreachable: bool },
    /// The caller's time is over.
    Deadline { request: usize },
    /// Something changes at the endpoints.
    Change(usize),
    /// Entries learn of the present list.
    Learn,
}

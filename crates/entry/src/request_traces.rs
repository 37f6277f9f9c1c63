use mangospindle_model::{EndpointId, EntryId, ErrorKind, RegionId, RequestClass, ServiceId};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of requests that are kept. With [`MAX_EVENTS`] events each, they take about 1 MB.
const MAX_REQUESTS: usize = 2048;

/// Maximum number of events that are kept of a request.
const MAX_EVENTS: usize = 16;

/// An event in the processing of a request by this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TraceEvent {
    /// The request was received from a caller.
    Received {
        service: ServiceId,
        class: RequestClass,
        home: RegionId,
    },
    /// The request was forwarded by another entry.
    Forwarded {
        service: ServiceId,
        class: RequestClass,
        home: RegionId,
    },
    /// An owner was selected for an attempt.
    OwnerChosen(EntryId),
    /// An owner was selected for a hedged attempt.
    Hedged(EntryId),
    /// An attempt failed.
    AttemptFailed(EntryId, ErrorKind),
    /// The request was sent to an endpoint.
    Dispatched(EndpointId),
    /// The response started with this status.
    ResponseStarted(u16),
    /// The caller received an error.
    Rejected(ErrorKind),
}

/// The identifier of a request, and its events with their times on the local clock.
#[derive(Clone, Debug)]
pub(crate) struct RequestTrace {
    pub(crate) id: String,
    pub(crate) events: Vec<(Duration, TraceEvent)>,
}

/// Events of recent requests. They explain how a request was routed.
pub(crate) struct RequestTraces {
    recent: Mutex<VecDeque<RequestTrace>>,
}

impl RequestTraces {
    /// Creates an empty collection.
    pub(crate) fn new() -> Self {
        RequestTraces {
            recent: Mutex::new(VecDeque::with_capacity(MAX_REQUESTS)),
        }
    }

    /// Starts the trace of a request with its first event. The oldest trace is dropped if there are
    /// [`MAX_REQUESTS`].
    pub(crate) fn start(&self, id: &str, now: Duration, event: TraceEvent) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_REQUESTS {
            recent.pop_front();
        }
        recent.push_back(RequestTrace {
            id: id.to_string(),
            events: vec![(now, event)],
        });
    }

    /// Adds an event to the trace of a request.
    pub(crate) fn record(&self, id: &str, now: Duration, event: TraceEvent) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let found = recent.iter_mut().rev().find(|e| e.id == id);
        if let Some(trace) = found.filter(|e| e.events.len() < MAX_EVENTS) {
            trace.events.push((now, event));
        }
    }

    /// Returns the trace of a recent request.
    pub(crate) fn find(&self, id: &str) -> Option<RequestTrace> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().rev().find(|e| e.id == id).cloned()
    }
}

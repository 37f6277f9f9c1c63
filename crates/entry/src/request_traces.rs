use mangospindle_model::{EndpointId, EntryId, ErrorKind, RegionId, RequestClass, ServiceId};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Most requests that are remembered. With the most steps, they take about 1 MB.
const MAX_REQUESTS: usize = 2048;

/// Most steps that are remembered of one request.
const MAX_STEPS: usize = 16;

/// One step of a request through this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TraceEvent {
    /// The request arrived from a caller.
    Received {
        service: ServiceId,
        class: RequestClass,
        home: RegionId,
    },
    /// The request arrived from another entry.
    Forwarded {
        service: ServiceId,
        class: RequestClass,
        home: RegionId,
    },
    /// An owner was chosen for an attempt.
    OwnerChosen(EntryId),
    /// An owner was chosen for a hedge.
    Hedged(EntryId),
    /// An attempt ended with an error.
    AttemptFailed(EntryId, ErrorKind),
    /// The request was sent to an endpoint.
    Dispatched(EndpointId),
    /// The answer started, with this status.
    ResponseStarted(u16),
    /// The caller got an error.
    Rejected(ErrorKind),
}

/// A remembered request: its identifier and the time and kind of its steps.
#[derive(Clone, Debug)]
pub(crate) struct RequestTrace {
    pub(crate) id: String,
    pub(crate) events: Vec<(Duration, TraceEvent)>,
}

/// The steps of recent requests, to answer why a request went where it went.
pub(crate) struct RequestTraces {
    recent: Mutex<VecDeque<RequestTrace>>,
}

impl RequestTraces {
    /// No requests.
    pub(crate) fn new() -> Self {
        RequestTraces {
            recent: Mutex::new(VecDeque::with_capacity(MAX_REQUESTS)),
        }
    }

    /// Remembers the first step of a request.
    pub(crate) fn start(&self, id: &str, now: Duration, step: TraceEvent) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_REQUESTS {
            recent.pop_front();
        }
        recent.push_back(RequestTrace {
            id: id.to_string(),
            events: vec![(now, step)],
        });
    }

    /// Remembers a further step.
    pub(crate) fn record(&self, id: &str, now: Duration, step: TraceEvent) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let found = recent.iter_mut().rev().find(|e| e.id == id);
        if let Some(explanation) = found.filter(|e| e.events.len() < MAX_STEPS) {
            explanation.events.push((now, step));
        }
    }

    /// The steps of a recent request.
    pub(crate) fn find(&self, id: &str) -> Option<RequestTrace> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().rev().find(|e| e.id == id).cloned()
    }
}

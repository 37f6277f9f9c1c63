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
pub(crate) enum Step {
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
    Chosen(EntryId),
    /// An owner was chosen for a hedge.
    Hedged(EntryId),
    /// An attempt ended with an error.
    Failed(EntryId, ErrorKind),
    /// The request was sent to an endpoint.
    Dispatched(EndpointId),
    /// The answer started, with this status.
    Answered(u16),
    /// The caller got an error.
    Refused(ErrorKind),
}

/// A remembered request: its identifier and the time and kind of its steps.
#[derive(Clone, Debug)]
pub(crate) struct Explanation {
    pub(crate) id: String,
    pub(crate) steps: Vec<(Duration, Step)>,
}

/// The steps of recent requests, to answer why a request went where it went.
pub(crate) struct Explain {
    recent: Mutex<VecDeque<Explanation>>,
}

impl Explain {
    /// No requests.
    pub(crate) fn new() -> Self {
        Explain {
            recent: Mutex::new(VecDeque::with_capacity(MAX_REQUESTS)),
        }
    }

    /// Remembers the first step of a request.
    pub(crate) fn start(&self, id: &str, now: Duration, step: Step) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == MAX_REQUESTS {
            recent.pop_front();
        }
        recent.push_back(Explanation {
            id: id.to_string(),
            steps: vec![(now, step)],
        });
    }

    /// Remembers a further step.
    pub(crate) fn step(&self, id: &str, now: Duration, step: Step) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let found = recent.iter_mut().rev().find(|e| e.id == id);
        if let Some(explanation) = found.filter(|e| e.steps.len() < MAX_STEPS) {
            explanation.steps.push((now, step));
        }
    }

    /// The steps of a recent request.
    pub(crate) fn find(&self, id: &str) -> Option<Explanation> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.iter().rev().find(|e| e.id == id).cloned()
    }
}

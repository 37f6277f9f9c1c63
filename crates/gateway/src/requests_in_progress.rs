use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestKey(u64);

/// State of a request in progress, for the log. Times are on the local clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestProgress {
    /// Request id, or an empty string.
    pub(crate) id: String,
    /// Name of the route, or an empty string before routing.
    pub(crate) route: String,
    pub(crate) arrived_at: Duration,
    /// When the response has to be complete; zero before routing.
    pub(crate) deadline: Duration,
    /// Attempts that reached an endpoint before the current one.
    pub(crate) sends: u32,
    /// The endpoint of the current attempt, or an empty string.
    pub(crate) endpoint: String,
    /// When the current attempt started.
    pub(crate) sent_at: Duration,
    /// Latency that was expected of the current attempt.
    pub(crate) expected_latency: Duration,
}

/// The requests in progress of a gateway.
#[derive(Debug, Default)]
pub(crate) struct RequestsInProgress {
    requests: RefCell<BTreeMap<RequestKey, RequestProgress>>,
}

impl RequestsInProgress {
    /// Adds a request that arrived at `arrived_at`.
    pub(crate) fn insert(&self, arrived_at: Duration) -> RequestKey {
        let mut requests = self.requests.borrow_mut();
        let next = requests.last_key_value().map_or(0, |(key, _)| key.0 + 1);
        let progress = RequestProgress {
            arrived_at,
            ..RequestProgress::default()
        };
        requests.insert(RequestKey(next), progress);
        RequestKey(next)
    }

    /// Runs `f` on a request. Does nothing if the request has been removed.
    pub(crate) fn update<F>(&self, key: RequestKey, f: F)
    where
        F: FnOnce(&mut RequestProgress),
    {
        if let Some(progress) = self.requests.borrow_mut().get_mut(&key) {
            f(progress);
        }
    }

    pub(crate) fn remove(&self, key: RequestKey) {
        self.requests.borrow_mut().remove(&key);
    }

    /// When the oldest attempt that is in progress was sent to an endpoint.
    pub(crate) fn oldest_send(&self) -> Option<Duration> {
        let requests = self.requests.borrow();
        let sent = requests.values().filter(|r| !r.endpoint.is_empty());
        sent.map(|r| r.sent_at).min()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Copies of all requests, in the order of their arrival.
    pub(crate) fn snapshot(&self) -> Vec<RequestProgress> {
        self.requests.borrow().values().cloned().collect()
    }
}

use mangospindle_model::{EntryId, RegionId, RequestClass, ServiceId};
use std::time::Duration;

/// Attempts made for one request. The entry process keeps one instance per request and passes it to
/// the [`Router`](crate::Router) for each decision.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// The requested service.
    pub service: ServiceId,
    /// Request class, which determines whether the request may be retried or hedged.
    pub class: RequestClass,
    /// Home region of the client.
    pub home_region: RegionId,
    /// Time on the router's clock from which no further attempt is started.
    pub deadline: Duration,
    /// Owners that received an attempt, in order. Cleared when the request waits for an ownership
    /// change.
    pub tried: Vec<EntryId>,
    /// Whether a hedge was sent.
    pub hedged: bool,
    /// Number of attempts sent to another owner after a refusal. They do not consume the retry
    /// budget.
    pub redirects: u8,
    /// Number of times that the request waited for endpoints to change owners.
    pub ownership_waits: u8,
    /// Number of retries charged to the retry budget, not counting the hedge.
    pub retries: u8,
}

impl Attempts {
    /// Creates the state of a request that has not been attempted.
    pub fn new(
        service: ServiceId,
        class: RequestClass,
        home_region: RegionId,
        deadline: Duration,
    ) -> Self {
        Attempts {
            service,
            class,
            home_region,
            deadline,
            tried: Vec::new(),
            hedged: false,
            redirects: 0,
            ownership_waits: 0,
            retries: 0,
        }
    }
}

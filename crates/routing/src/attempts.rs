use mangospindle_model::{EntryId, RegionId, RequestClass, ServiceId};
use std::time::Duration;

/// The attempts made for one request. The entry process keeps one per request and passes it to the
/// [`Router`](crate::Router) for each decision.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// The requested service.
    pub service: ServiceId,
    /// Class of the request.
    pub class: RequestClass,
    /// Home region of the client.
    pub home_region: RegionId,
    /// Time on the local clock after which no attempt is started.
    pub deadline: Duration,
    /// Owners that were tried, in order.
    pub tried: Vec<EntryId>,
    /// Whether the hedge of the request was used.
    pub hedged: bool,
    /// Attempts after the first that were allowed because the previous owner refused the request.
    pub redirects: u8,
    /// Times that the request waited for endpoints on the way from one owner to another.
    pub ownership_waits: u8,
    /// Attempts after the first that were paid for from the retry budget, without the hedge.
    pub retries: u8,
}

impl Attempts {
    /// A request without attempts.
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

use crate::{Action, AdmissionRequest, Decision, EndpointReading, Permit, RequestResult, Ticket};
use mangospindle_model::{EndpointId, EntryId, ErrorKind, ServiceId};
use mangospindle_state::Config;
use std::sync::Arc;
use std::time::Duration;

/// Admission control of one entry for the endpoints that it owns.
#[derive(Debug)]
pub struct Admission {
    entry: EntryId,
}

impl Admission {
    /// Creates the admission control of an entry process that starts at `now`.
    pub fn new(entry: EntryId, now: Duration, seed: u64) -> Self {
        let _ = (now, seed);
        Admission { entry }
    }

    /// Applies a configuration. Must be called for each version in order; lower versions are
    /// ignored.
    pub fn update_config(&mut self, now: Duration, config: Arc<Config>) -> Vec<Action> {
        let _ = (now, config, self.entry);
        Vec::new()
    }

    /// A control replica, or a peer, knew `age` ago that `version` was the current configuration.
    /// Ignored unless `version` is the one that was applied last.
    pub fn confirm(&mut self, now: Duration, version: u64, age: Duration) -> Vec<Action> {
        let _ = (now, version, age);
        Vec::new()
    }

    /// Decides about a request.
    pub fn request(&mut self, now: Duration, request: AdmissionRequest) -> Decision {
        let _ = (now, request);
        Decision::Refused(ErrorKind::NoEndpoint)
    }

    /// Forgets a queued request whose caller gave up. Returns whether it was still queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let _ = ticket;
        false
    }

    /// Frees the slot of a dispatched request and starts queued ones.
    pub fn finish(&mut self, now: Duration, permit: Permit, result: RequestResult) -> Vec<Action> {
        let _ = (now, permit, result);
        Vec::new()
    }

    /// Does what is due: refuses queued requests whose time is over, and starts queued ones for
    /// which slots have become usable. Call it at [`Admission::next_expiry`] and at least every
    /// 100 ms while requests are queued.
    pub fn expire(&mut self, now: Duration) -> Vec<Action> {
        let _ = now;
        Vec::new()
    }

    /// When the next queued request must be refused.
    pub fn next_expiry(&self) -> Option<Duration> {
        None
    }

    /// Records a reading of an endpoint.
    pub fn observe(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        reading: EndpointReading,
    ) -> Vec<Action> {
        let _ = (now, endpoint, reading);
        Vec::new()
    }

    /// Asks for the right to open a connection to an endpoint. Each granted connection is given
    /// back by [`Admission::connection_closed`].
    pub fn open_connection(&mut self, endpoint: EndpointId) -> bool {
        let _ = endpoint;
        false
    }

    /// A connection to an endpoint was closed.
    pub fn connection_closed(&mut self, now: Duration, endpoint: EndpointId) -> Vec<Action> {
        let _ = (now, endpoint);
        Vec::new()
    }

    /// Free slots of a service that new requests could use now, for reports to other entries.
    pub fn free_slots(&self, now: Duration, service: ServiceId) -> u32 {
        let _ = (now, service);
        0
    }

    /// Time until which limited regions get no requests from this process after its start; see the
    /// documentation of configuration changes in flight. An entry that announces itself as active
    /// no earlier than this loses no capacity to the restart.
    pub fn limited_until(&self) -> Option<Duration> {
        None
    }
}

use crate::fixture::*;
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{Config, ConfigChange};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub fn admission_request(
    service: u16,
    class: RequestClass,
    home: RegionId,
    remaining_ms: u64,
) -> AdmissionRequest {
    let (service, remaining) = (ServiceId(service), ms(remaining_ms));
    AdmissionRequest {
        service,
        class,
        home,
        remaining,
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    SlotGranted,
    Enqueued,
    Rejected(ErrorKind),
}

/// An entry that owns all endpoints: four of service 0 and four of service 1, with three slots
/// each.
pub struct TestOwner {
    pub admission: Admission,
    pub config: Config,
    pub now: Duration,
    pub permits: Vec<Permit>,
    pub actions: Vec<Action>,
    pub queued_classes: HashMap<Ticket, RequestClass>,
}

impl TestOwner {
    /// A process that started 60 s ago and is past all waits.
    pub fn new(limit: u32, profile: Profile) -> Self {
        let mut owner = Self::new_restarted(limit, profile);
        owner.confirm_config(0);
        owner.advance(60_000);
        owner
    }

    /// A process that has just started and is the owner already.
    pub fn new_restarted(limit: u32, profile: Profile) -> Self {
        let mut topology = topology(&vec![vec![(1, 4), (0, 4)], vec![(0, 0)]], 2, &[]);
        topology.regions[0].max_in_progress = limit;
        let (now, config) = (ms(1_000_000), config(topology, profile));
        let mut admission = Admission::new(EntryId(0), now, 5);
        let actions = admission.update_config(now, Arc::new(config.clone()));
        let (permits, queued_classes) = (Vec::new(), HashMap::new());
        TestOwner {
            admission,
            config,
            now,
            permits,
            actions,
            queued_classes,
        }
    }

    pub fn advance(&mut self, by_ms: u64) {
        self.now += ms(by_ms);
        let actions = self.admission.expire(self.now);
        self.actions.extend(actions);
    }

    pub fn confirm_config(&mut self, age_ms: u64) {
        let actions = self
            .admission
            .confirm_config(self.now, self.config.version, ms(age_ms));
        self.actions.extend(actions);
    }

    pub fn change(&mut self, change: ConfigChange) {
        self.config.apply(&change);
        let actions = self
            .admission
            .update_config(self.now, Arc::new(self.config.clone()));
        self.actions.extend(actions);
    }

    pub fn observe(&mut self, endpoint: u32, reading: EndpointObservation) {
        let actions = self
            .admission
            .observe(self.now, EndpointId(endpoint), reading);
        self.actions.extend(actions);
    }

    pub fn request(
        &mut self,
        service: u16,
        class: RequestClass,
        home: RegionId,
        remaining_ms: u64,
    ) -> Outcome {
        let request = admission_request(service, class, home, remaining_ms);
        match self.admission.request(self.now, request) {
            Decision::Dispatch(permit) => {
                self.permits.push(permit);
                Outcome::SlotGranted
            }
            Decision::Queued(ticket) => {
                self.queued_classes.insert(ticket, class);
                Outcome::Enqueued
            }
            Decision::Refused(kind) => Outcome::Rejected(kind),
        }
    }

    pub fn read(&mut self, home: RegionId) -> Outcome {
        self.request(0, RequestClass::Read, home, 1_000)
    }

    /// Sends reads of the home region until one gets no slot. Returns the number of granted slots.
    pub fn fill_slots(&mut self, service: u16) -> usize {
        let send_read = |o: &mut Self| o.request(service, RequestClass::Read, HOME, 1_000);
        (0..100)
            .take_while(|_| send_read(self) == Outcome::SlotGranted)
            .count()
    }

    /// Ends the running request that was dispatched first.
    pub fn finish_oldest(&mut self, result: RequestResult) {
        let permit = self.permits.remove(0);
        let actions = self.admission.finish(self.now, permit, result);
        self.actions.extend(actions);
    }

    /// Returns and clears the names of the actions since the last call.
    pub fn take_action_names(&mut self) -> Vec<String> {
        let name = |a: &Action| match a {
            Action::Dispatch { .. } => "dispatch".to_string(),
            Action::Refuse { kind, .. } => kind.row().name.to_string(),
            Action::Drained {
                endpoint: e,
                drain_time: t,
            } => format!("drained {e} {t:?}"),
            Action::CloseConnections { endpoint } => format!("close {endpoint}"),
            Action::ReadyToRelease { endpoint, epoch } => format!("release {endpoint} {epoch}"),
        };
        self.actions.drain(..).map(|a| name(&a)).collect()
    }
}

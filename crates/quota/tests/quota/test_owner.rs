use crate::fixture::*;
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{Config, ConfigChange};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub fn ask(service: u16, class: RequestClass, home: RegionId, left: u64) -> AdmissionRequest {
    let (service, remaining) = (ServiceId(service), ms(left));
    AdmissionRequest {
        service,
        class,
        home,
        remaining,
    }
}

/// What a request got.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Got {
    Slot,
    Queue,
    No(ErrorKind),
}

/// One entry that owns all endpoints: four of service 0 and four of service 1, three slots each.
pub struct Owner {
    pub admission: Admission,
    pub config: Config,
    pub now: Duration,
    pub permits: Vec<Permit>,
    pub actions: Vec<Action>,
    pub queued: HashMap<Ticket, RequestClass>,
}

impl Owner {
    /// A process that started long before the endpoints were released to it.
    pub fn new(limit: u32, profile: Profile) -> Self {
        let mut owner = Self::restarted(limit, profile);
        owner.confirm_config(0);
        owner.advance(60_000);
        owner
    }

    /// A process that has just started and finds itself the owner.
    pub fn restarted(limit: u32, profile: Profile) -> Self {
        let mut topology = topology(&vec![vec![(1, 4), (0, 4)], vec![(0, 0)]], 2, &[]);
        topology.regions[0].max_in_progress = limit;
        let (now, config) = (ms(1_000_000), config(topology, profile));
        let mut admission = Admission::new(EntryId(0), now, 5);
        let actions = admission.update_config(now, Arc::new(config.clone()));
        let (permits, queued) = (Vec::new(), HashMap::new());
        Owner {
            admission,
            config,
            now,
            permits,
            actions,
            queued,
        }
    }

    pub fn advance(&mut self, by: u64) {
        self.now += ms(by);
        let actions = self.admission.expire(self.now);
        self.actions.extend(actions);
    }

    pub fn confirm_config(&mut self, age: u64) {
        let actions = self
            .admission
            .confirm_config(self.now, self.config.version, ms(age));
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

    pub fn request(&mut self, service: u16, class: RequestClass, home: RegionId, left: u64) -> Got {
        let request = ask(service, class, home, left);
        match self.admission.request(self.now, request) {
            Decision::Dispatch(permit) => {
                self.permits.push(permit);
                Got::Slot
            }
            Decision::Queued(ticket) => {
                self.queued.insert(ticket, class);
                Got::Queue
            }
            Decision::Refused(kind) => Got::No(kind),
        }
    }

    pub fn read(&mut self, home: RegionId) -> Got {
        self.request(0, RequestClass::Read, home, 1_000)
    }

    /// Sends requests of the home region until one gets no slot; returns the number of slots.
    pub fn fill(&mut self, service: u16) -> usize {
        let one = |o: &mut Self| o.request(service, RequestClass::Read, HOME, 1_000);
        (0..100).take_while(|_| one(self) == Got::Slot).count()
    }

    pub fn finish(&mut self, result: RequestResult) {
        let permit = self.permits.remove(0);
        let actions = self.admission.finish(self.now, permit, result);
        self.actions.extend(actions);
    }

    /// Names of the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<String> {
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

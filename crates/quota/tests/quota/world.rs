use crate::fixture::*;
use crate::op::Op;
use crate::oracle::{DELIVERY, Oracle};
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{Config, ConfigChange, EntryStatus, Takeover};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Step in which time advances, so that deliveries and deadlines are processed when they are due.
const STEP: Duration = Duration::from_millis(50);

struct Process {
    admission: Admission,
    started: Duration,
    /// Index of the newest configuration that was applied.
    applied: usize,
    confirmed: bool,
    cut_off: bool,
    tickets: HashMap<Ticket, (AdmissionRequest, Duration)>,
}

/// A request at an endpoint. The permit is gone when its owner died.
struct Running {
    entry: EntryId,
    permit: Option<Permit>,
    endpoint: EndpointId,
    ends: Duration,
}

/// Several owners, the control replicas and the endpoints, in one thread.
pub struct World {
    pub now: Duration,
    rng: SmallRng,
    bounded_delivery: bool,
    pub oracle: Oracle,
    /// When each configuration reaches each entry.
    delivery: Vec<Vec<Duration>>,
    processes: BTreeMap<EntryId, Process>,
    running: Vec<Running>,
    leaving: Vec<bool>,
}

impl World {
    pub fn new(seed: u64, bounded_delivery: bool, limit: u32, cross: u32) -> Self {
        let mut world = World {
            now: ms(10_000),
            rng: SmallRng::seed_from_u64(seed),
            bounded_delivery,
            oracle: Oracle::default(),
            delivery: Vec::new(),
            processes: BTreeMap::new(),
            running: Vec::new(),
            leaving: vec![false; 100],
        };
        let config = config(3, 4, limit, profile(cross, 0.5));
        world.accept(config);
        (0..3).for_each(|i| world.start(EntryId(i)));
        world
    }

    fn accept(&mut self, config: Config) {
        // Most configurations arrive soon; some arrive as late as allowed.
        let mut delay = || match self.rng.random_range(0..3) {
            0 => DELIVERY.mul_f64(self.rng.random_range(0.9..1.0)),
            _ => DELIVERY.mul_f64(self.rng.random::<f64>().powi(3)),
        };
        let delays: Vec<_> = (0..3).map(|_| self.now + delay()).collect();
        self.delivery.push(delays);
        self.oracle.accepted.push((self.now, Arc::new(config)));
    }

    fn change(&mut self, change: &ConfigChange) {
        let mut config = (**self.oracle.newest()).clone();
        config.apply(change);
        self.accept(config);
    }

    fn start(&mut self, entry: EntryId) {
        let admission = Admission::new(entry, self.now, self.rng.random());
        let applied = self.oracle.accepted.len() - 1;
        let tickets = HashMap::new();
        let (started, cut_off) = (self.now, false);
        let mut process = Process {
            admission,
            started,
            applied,
            confirmed: false,
            cut_off,
            tickets,
        };
        let config = self.oracle.newest().clone();
        let actions = process.admission.update_config(self.now, config);
        self.processes.insert(entry, process);
        self.act(entry, actions);
        self.deliver(entry);
    }

    fn kill(&mut self, entry: EntryId) {
        self.processes.remove(&entry);
        self.oracle.entry_died(entry);
        self.running
            .iter_mut()
            .filter(|r| r.entry == entry)
            .for_each(|r| r.permit = None);
    }

    fn act(&mut self, entry: EntryId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, permit } => {
                    let process = self.processes.get_mut(&entry).expect("a live process");
                    let (request, deadline) =
                        process.tickets.remove(&ticket).expect("a queued request");
                    assert!(self.now < deadline, "dispatched after its deadline");
                    self.dispatched(entry, permit, request, deadline);
                }
                Action::Refuse { ticket, kind } => {
                    assert_eq!(kind.row().can_have_run, CanHaveRun::No);
                    let process = self.processes.get_mut(&entry).expect("a live process");
                    process.tickets.remove(&ticket).expect("a queued request");
                }
                Action::CloseConnections { endpoint } => {
                    let open = std::mem::take(self.oracle.connections(entry, endpoint));
                    for _ in 0..open {
                        self.with(entry, |a, now| a.connection_closed(now, endpoint));
                    }
                }
                Action::ReadyToRelease { endpoint, epoch } => {
                    let ownership = self.oracle.newest().ownership[endpoint.index()];
                    if ownership.owner == Some(entry) && ownership.epoch == epoch {
                        let change = next_owner(self.oracle.newest(), endpoint, Takeover::Clean);
                        self.change(&change);
                    }
                }
                Action::Drained { .. } => {}
            }
        }
    }

    /// Calls a live process and carries out what it returns.
    fn with<F>(&mut self, entry: EntryId, f: F)
    where
        F: FnOnce(&mut Admission, Duration) -> Vec<Action>,
    {
        if let Some(process) = self.processes.get_mut(&entry) {
            let actions = f(&mut process.admission, self.now);
            self.act(entry, actions);
        }
    }

    fn dispatched(
        &mut self,
        entry: EntryId,
        permit: Permit,
        request: AdmissionRequest,
        deadline: Duration,
    ) {
        let endpoint = permit.endpoint();
        let process = self.processes.get_mut(&entry).expect("a live process");
        let config = &self.oracle.accepted[process.applied].1;
        let max_deadline = config.topology.services[request.service.index()].max_deadline;
        assert!(
            process.confirmed,
            "dispatched without a confirmed configuration"
        );
        assert!(permit.deadline() <= deadline.min(self.now + max_deadline));
        assert_eq!(config.owner_of(endpoint), Some(entry));
        assert!(!self.leaving[endpoint.index()] && !config.endpoint_drain[endpoint.index()]);
        if process.admission.open_connection(self.now, endpoint) {
            self.oracle.connection_opened(entry, endpoint);
        }
        self.oracle
            .dispatch(self.now, endpoint, request.home, self.bounded_delivery);
        let ends = permit.deadline();
        self.running.push(Running {
            entry,
            permit: Some(permit),
            endpoint,
            ends,
        });
    }

    fn finish(&mut self, which: usize, result: RequestResult) {
        let running = self.running.swap_remove(which);
        self.oracle.end(running.endpoint);
        if let Some(permit) = running.permit {
            self.with(running.entry, |a, now| a.finish(now, permit, result));
        }
    }

    fn advance(&mut self, by: Duration, step: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + step);
            while let Some(i) = self.running.iter().position(|r| r.ends <= self.now) {
                self.finish(i, RequestResult::TimedOut);
            }
            for entry in (0..3).map(EntryId) {
                self.deliver(entry);
                self.with(entry, |a, now| a.expire(now));
            }
        }
    }

    fn deliver(&mut self, entry: EntryId) {
        // Health polls, which don't depend on control.
        for (i, _) in self.leaving.clone().iter().enumerate().filter(|(_, l)| **l) {
            let id = EndpointId(i as u32);
            self.with(entry, |a, now| a.observe(now, id, EndpointReading::Leaving));
        }
        loop {
            let Some(process) = self.processes.get_mut(&entry).filter(|p| !p.cut_off) else {
                return;
            };
            let next = process.applied + 1;
            if self
                .delivery
                .get(next)
                .is_none_or(|d| d[entry.index()] > self.now)
            {
                break;
            }
            process.applied = next;
            let config = self.oracle.accepted[next].1.clone();
            self.with(entry, |a, now| a.update_config(now, config));
        }
        // The applied configuration was current at any time before the next was accepted.
        let process = self.processes.get_mut(&entry).expect("a live process");
        let superseded = self.oracle.accepted.get(process.applied + 1).map(|a| a.0);
        let age = self.now - superseded.unwrap_or(self.now);
        let version = self.oracle.accepted[process.applied].1.version;
        process.confirmed |= process.started <= self.now - age;
        self.with(entry, |a, now| a.confirm(now, version, age));
    }

    fn fence(&mut self, entry: EntryId) {
        self.kill(entry);
        self.change(&ConfigChange::SetEntryStatus(entry, EntryStatus::Fenced));
        for id in self
            .oracle
            .newest()
            .topology
            .endpoint_ids()
            .collect::<Vec<_>>()
        {
            if self.oracle.newest().owner_of(id) == Some(entry) {
                let change = next_owner(self.oracle.newest(), id, Takeover::Quarantine);
                self.change(&change);
            }
        }
    }

    pub fn apply(&mut self, op: &Op) {
        let newest = self.oracle.newest().clone();
        let endpoints = newest.topology.endpoints.len();
        let entry_of = |i: usize| EntryId((i % 3) as u16);
        match *op {
            Op::Advance(by) => self.advance(ms(by), STEP),
            Op::Requests {
                entry,
                service,
                class,
                away,
                remaining_ms,
                count,
            } => {
                let home = if away { AWAY } else { HOME };
                let (service, remaining) = (ServiceId(service), ms(remaining_ms));
                for _ in 0..count {
                    self.request(
                        entry_of(entry),
                        AdmissionRequest {
                            service,
                            class,
                            home,
                            remaining,
                        },
                    );
                }
            }
            Op::Finish { which, how } if !self.running.is_empty() => {
                let result = match how {
                    0..=4 => RequestResult::Answered {
                        first_byte: ms(u64::from(how).pow(4)),
                    },
                    5 => RequestResult::Failed,
                    6 => RequestResult::Shed,
                    _ => RequestResult::Cancelled,
                };
                self.finish(which % self.running.len(), result);
            }
            Op::Pressure { service, steps } => {
                for i in 0..steps * 3 * 6 {
                    let service = if service < 2 {
                        service
                    } else {
                        i as u16 / 3 % 2
                    };
                    let (service, class) = (ServiceId(service), RequestClass::AtMostOnce);
                    let request = AdmissionRequest {
                        service,
                        class,
                        home: HOME,
                        remaining: ms(9_000),
                    };
                    self.request(entry_of(i as usize), request);
                    if i % (3 * 6) == 0 {
                        self.advance(ms(200), STEP);
                    }
                }
            }
            Op::Finish { .. } => {}
            Op::Cancel(entry) => {
                if let Some(process) = self.processes.get_mut(&entry_of(entry)) {
                    let ticket = process.tickets.keys().min().copied();
                    ticket.into_iter().for_each(|t| {
                        process.tickets.remove(&t);
                        assert!(process.admission.cancel(t));
                    });
                }
            }
            Op::Kill(entry) => self.kill(entry_of(entry)),
            Op::Restart(entry) => {
                let entry = entry_of(entry);
                if !self.processes.contains_key(&entry) {
                    self.start(entry);
                    self.change(&active(entry, newest.version));
                    for id in newest
                        .topology
                        .endpoint_ids()
                        .filter(|id| newest.owner_of(*id).is_none())
                    {
                        let change = next_owner(self.oracle.newest(), id, Takeover::Quarantine);
                        self.change(&change);
                    }
                }
            }
            Op::Fence(entry) => self.fence(entry_of(entry)),
            Op::RegionLimit(limit) => self.change(&ConfigChange::SetRegionLimit(HOME, limit)),
            Op::CrossLimit(limit) => self.change(&put_profile(profile(limit, 0.5))),
            Op::AddEndpoint { .. } if endpoints >= 14 => {}
            Op::AddEndpoint { service, domain } => {
                self.change(&ConfigChange::AddEndpoint(endpoint(
                    endpoints, service, domain,
                )));
                let change = next_owner(
                    self.oracle.newest(),
                    EndpointId(endpoints as u32),
                    Takeover::Clean,
                );
                self.change(&change);
            }
            Op::Drain { endpoint, drain } => {
                let id = EndpointId((endpoint % endpoints) as u32);
                self.change(&ConfigChange::SetEndpointDrain(id, drain));
            }
            Op::Reading { endpoint, what } => {
                let id = endpoint % endpoints;
                let reading = match what {
                    0 => EndpointReading::Leaving,
                    1..=2 => EndpointReading::Unanswered,
                    _ => EndpointReading::Healthy {
                        load: f32::from(what) / 6.0,
                    },
                };
                self.leaving[id] = match reading {
                    EndpointReading::Unanswered => self.leaving[id],
                    _ => what == 0,
                };
                for entry in (0..3).map(EntryId) {
                    self.with(entry, |a, now| {
                        a.observe(now, EndpointId(id as u32), reading)
                    });
                }
            }
            Op::CutOff { entry, cut } => {
                let process = self.processes.get_mut(&entry_of(entry));
                process.into_iter().for_each(|p| p.cut_off = cut);
            }
            Op::ClockBack { entry, ms: back } => {
                self.with(entry_of(entry), |a, now| a.expire(now - ms(back)));
            }
        }
    }

    fn request(&mut self, entry: EntryId, request: AdmissionRequest) -> bool {
        let Some(process) = self.processes.get_mut(&entry) else {
            return false;
        };
        let deadline = self.now + request.remaining;
        match process.admission.request(self.now, request) {
            Decision::Dispatch(permit) => {
                assert!(!request.remaining.is_zero());
                self.dispatched(entry, permit, request, deadline);
                return true;
            }
            Decision::Queued(ticket) => {
                assert!(
                    process
                        .tickets
                        .insert(ticket, (request, deadline))
                        .is_none()
                );
            }
            Decision::Refused(kind) => assert_eq!(kind.row().can_have_run, CanHaveRun::No),
        }
        false
    }

    /// Repairs everything and checks that all slots are free and can be used again.
    pub fn settle(&mut self) {
        self.bounded_delivery = false;
        (0..3).for_each(|i| self.apply(&Op::Restart(i)));
        self.processes.values_mut().for_each(|p| p.cut_off = false);
        let endpoints = self.oracle.newest().topology.endpoints.len();
        for endpoint in 0..endpoints {
            self.apply(&Op::Drain {
                endpoint,
                drain: false,
            });
            self.apply(&Op::Reading { endpoint, what: 3 });
        }
        self.change(&ConfigChange::SetRegionLimit(HOME, 1_000));
        self.advance(Duration::from_secs(90), ms(300));
        assert!(self.running.is_empty());
        for service in (0..2).map(ServiceId) {
            let of_service = |e: &&Endpoint| e.service == service;
            let config = self.oracle.newest().clone();
            let slots: u32 = (config.topology.endpoints.iter().filter(of_service))
                .map(|e| e.slots)
                .sum();
            let free = self
                .processes
                .values()
                .map(|p| p.admission.free_slots(self.now, service))
                .sum::<u32>();
            assert_eq!(free, slots, "free slots of service {service}");
            let request = AdmissionRequest {
                service,
                class: RequestClass::AtMostOnce,
                home: HOME,
                remaining: ms(900),
            };
            let count = |w: &mut World| {
                (0..3 * slots)
                    .filter(|i| w.request(EntryId((i % 3) as u16), request))
                    .count()
            };
            assert_eq!(
                count(self),
                slots as usize,
                "requests started of service {service}"
            );
        }
    }
}

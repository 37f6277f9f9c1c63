use crate::fixture::*;
use crate::op::Op;
use crate::oracle::{DELIVERY, Oracle};
use crate::test_owner::ask;
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{Config, ConfigChange, Takeover};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

mod apply;

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
        let mut topology = topology(&vec![vec![(2, 4), (1, 4)], vec![(0, 0)]], 2, &[]);
        topology.regions[0].max_in_progress = limit;
        let config = config(topology, profile(cross, 0.5));
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
        self.poll(entry);
    }

    fn kill(&mut self, entry: EntryId) {
        self.processes.remove(&entry);
        self.oracle.connections.retain(|(e, _), _| *e != entry);
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
                    let open = self
                        .oracle
                        .connections
                        .remove(&(entry, endpoint))
                        .unwrap_or(0);
                    for _ in 0..open {
                        self.with(entry, |a, now| a.connection_closed(now, endpoint));
                    }
                }
                Action::ReadyToRelease { endpoint, epoch } => {
                    let ownership = self.oracle.newest().ownership[endpoint.index()];
                    if ownership.owner == Some(entry) && ownership.epoch == epoch {
                        let change =
                            assign_preferred_owner(self.oracle.newest(), endpoint, Takeover::Clean);
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
        if process.admission.reserve_connection(self.now, endpoint) {
            self.oracle.connection_opened(entry, endpoint);
        }
        self.oracle
            .dispatch(self.now, endpoint, request.home, self.bounded_delivery);
        // Half of the requests run until their deadline.
        let length = self.rng.random_range(0.2..1.8f64).min(1.0);
        let ends = self.now + (permit.deadline() - self.now).mul_f64(length);
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
                let result = match self.rng.random_range(0..5) {
                    0 => RequestResult::TimedOut,
                    _ => RequestResult::Answered { first_byte: ms(5) },
                };
                self.finish(i, result);
            }
            for entry in (0..3).map(EntryId) {
                self.deliver(entry);
                self.with(entry, |a, now| a.expire(now));
            }
        }
    }

    /// Polls the health of all endpoints, which doesn't depend on control.
    fn poll(&mut self, entry: EntryId) {
        for i in (0..self.leaving.len())
            .filter(|i| self.leaving[*i])
            .collect::<Vec<_>>()
        {
            let id = EndpointId(i as u32);
            self.with(entry, |a, now| {
                a.observe(now, id, EndpointObservation::Leaving)
            });
        }
    }

    fn deliver(&mut self, entry: EntryId) {
        self.poll(entry);
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
        self.with(entry, |a, now| a.confirm_config(now, version, age));
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
        for id in 0..self.oracle.newest().topology.endpoints.len() {
            self.apply(&Op::Drain(id, false));
            self.apply(&Op::Reading(id, 3));
        }
        self.change(&ConfigChange::SetRegionLimit(HOME, 1_000));
        self.advance(ms(90_000), ms(300));
        assert!(self.running.is_empty());
        for service in 0..2 {
            let id = ServiceId(service);
            let all = &self.oracle.newest().topology.endpoints;
            let slots: u32 = all
                .iter()
                .filter(|e| e.service == id)
                .map(|e| e.slots)
                .sum();
            let free = self
                .processes
                .values()
                .map(|p| p.admission.free_slots(self.now, id));
            assert_eq!(free.sum::<u32>(), slots, "free slots of service {service}");
            let request = ask(service, RequestClass::AtMostOnce, HOME, 900);
            let offered = (0..3 * slots).map(|i| EntryId((i % 3) as u16));
            let started = offered.filter(|e| self.request(*e, request)).count();
            assert_eq!(
                started, slots as usize,
                "requests started of service {service}"
            );
        }
    }
}

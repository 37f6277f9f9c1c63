use crate::fixture::*;
use crate::op::Op;
use crate::oracle::{MAX_DELIVERY_DELAY, Oracle};
use crate::test_owner::admission_request;
use mangospindle_model::*;
use mangospindle_quota::*;
use mangospindle_state::{Config, ConfigChange, Takeover};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

mod apply;

/// Step in which time advances, short enough that deliveries and deadlines are handled when due.
const TIME_STEP: Duration = Duration::from_millis(50);

struct Process {
    admission: Admission,
    started_at: Duration,
    /// Index of the newest configuration that was applied.
    applied: usize,
    confirmed: bool,
    cut_off: bool,
    tickets: HashMap<Ticket, (AdmissionRequest, Duration)>,
}

/// A request that runs at an endpoint. The permit is `None` after its owner has crashed.
struct RunningRequest {
    entry: EntryId,
    permit: Option<Permit>,
    endpoint: EndpointId,
    ends_at: Duration,
}

/// Simulates several owners, the control replicas and the endpoints in one thread.
pub struct Simulation {
    pub now: Duration,
    rng: SmallRng,
    bounded_delivery: bool,
    pub oracle: Oracle,
    /// For each accepted configuration, the times at which it reaches the entries.
    delivery_times: Vec<Vec<Duration>>,
    processes: BTreeMap<EntryId, Process>,
    running: Vec<RunningRequest>,
    leaving: Vec<bool>,
}

impl Simulation {
    pub fn new(
        seed: u64,
        bounded_delivery: bool,
        region_limit: u32,
        cross_region_limit: u32,
    ) -> Self {
        let mut simulation = Simulation {
            now: ms(10_000),
            rng: SmallRng::seed_from_u64(seed),
            bounded_delivery,
            oracle: Oracle::default(),
            delivery_times: Vec::new(),
            processes: BTreeMap::new(),
            running: Vec::new(),
            leaving: vec![false; 100],
        };
        let mut topology = topology(&vec![vec![(2, 4), (1, 4)], vec![(0, 0)]], 2, &[]);
        topology.regions[0].max_in_progress = region_limit;
        let config = config(topology, profile(cross_region_limit, 0.5));
        simulation.accept_config(config);
        (0..3).for_each(|i| simulation.start_process(EntryId(i)));
        simulation
    }

    /// Records a configuration as accepted and draws the times of its delivery.
    fn accept_config(&mut self, config: Config) {
        // Most configurations arrive early, some as late as allowed.
        let mut delay = || match self.rng.random_range(0..3) {
            0 => MAX_DELIVERY_DELAY.mul_f64(self.rng.random_range(0.9..1.0)),
            _ => MAX_DELIVERY_DELAY.mul_f64(self.rng.random::<f64>().powi(3)),
        };
        let delays: Vec<_> = (0..3).map(|_| self.now + delay()).collect();
        self.delivery_times.push(delays);
        self.oracle.accepted.push((self.now, Arc::new(config)));
    }

    fn change_config(&mut self, change: &ConfigChange) {
        let mut config = (**self.oracle.newest()).clone();
        config.apply(change);
        self.accept_config(config);
    }

    fn start_process(&mut self, entry: EntryId) {
        let admission = Admission::new(entry, self.now, self.rng.random());
        let applied = self.oracle.accepted.len() - 1;
        let tickets = HashMap::new();
        let (started_at, cut_off) = (self.now, false);
        let mut process = Process {
            admission,
            started_at,
            applied,
            confirmed: false,
            cut_off,
            tickets,
        };
        let config = self.oracle.newest().clone();
        let actions = process.admission.update_config(self.now, config);
        self.processes.insert(entry, process);
        self.run_actions(entry, actions);
        self.poll_health(entry);
    }

    /// Ends a process. Its requests continue to run and its connections are closed.
    fn kill(&mut self, entry: EntryId) {
        self.processes.remove(&entry);
        self.oracle.connections.retain(|(e, _), _| *e != entry);
        self.running
            .iter_mut()
            .filter(|r| r.entry == entry)
            .for_each(|r| r.permit = None);
    }

    fn run_actions(&mut self, entry: EntryId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, permit } => {
                    let process = self.processes.get_mut(&entry).expect("a live process");
                    let (request, deadline) =
                        process.tickets.remove(&ticket).expect("a queued request");
                    assert!(
                        self.now < deadline,
                        "a queued request was dispatched after its deadline"
                    );
                    self.handle_dispatch(entry, permit, request, deadline);
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
                        self.with_admission(entry, |a, now| a.connection_closed(now, endpoint));
                    }
                }
                Action::ReadyToRelease { endpoint, epoch } => {
                    let ownership = self.oracle.newest().ownership[endpoint.index()];
                    if ownership.owner == Some(entry) && ownership.epoch == epoch {
                        let change =
                            assign_preferred_owner(self.oracle.newest(), endpoint, Takeover::Clean);
                        self.change_config(&change);
                    }
                }
                Action::Drained { .. } => {}
            }
        }
    }

    /// Calls `f` if the process is live and carries out the returned actions.
    fn with_admission<F>(&mut self, entry: EntryId, f: F)
    where
        F: FnOnce(&mut Admission, Duration) -> Vec<Action>,
    {
        if let Some(process) = self.processes.get_mut(&entry) {
            let actions = f(&mut process.admission, self.now);
            self.run_actions(entry, actions);
        }
    }

    fn handle_dispatch(
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
            self.oracle.record_connection(entry, endpoint);
        }
        self.oracle
            .record_dispatch(self.now, endpoint, request.home, self.bounded_delivery);
        // Half of the requests run until their deadline.
        let deadline_fraction = self.rng.random_range(0.2..1.8f64).min(1.0);
        let ends_at = self.now + (permit.deadline() - self.now).mul_f64(deadline_fraction);
        self.running.push(RunningRequest {
            entry,
            permit: Some(permit),
            endpoint,
            ends_at,
        });
    }

    fn finish(&mut self, running_index: usize, result: RequestResult) {
        let running = self.running.swap_remove(running_index);
        self.oracle.record_end(running.endpoint);
        if let Some(permit) = running.permit {
            self.with_admission(running.entry, |a, now| a.finish(now, permit, result));
        }
    }

    fn advance(&mut self, by: Duration, step: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + step);
            while let Some(i) = self.running.iter().position(|r| r.ends_at <= self.now) {
                let result = match self.rng.random_range(0..5) {
                    0 => RequestResult::TimedOut,
                    _ => RequestResult::Answered { first_byte: ms(5) },
                };
                self.finish(i, result);
            }
            for entry in (0..3).map(EntryId) {
                self.deliver_configs(entry);
                self.with_admission(entry, |a, now| a.expire(now));
            }
        }
    }

    /// Reports the leaving endpoints to the process, as health checks do even without control.
    fn poll_health(&mut self, entry: EntryId) {
        for i in (0..self.leaving.len())
            .filter(|i| self.leaving[*i])
            .collect::<Vec<_>>()
        {
            let id = EndpointId(i as u32);
            self.with_admission(entry, |a, now| {
                a.observe(now, id, EndpointObservation::Leaving)
            });
        }
    }

    fn deliver_configs(&mut self, entry: EntryId) {
        self.poll_health(entry);
        loop {
            let Some(process) = self.processes.get_mut(&entry).filter(|p| !p.cut_off) else {
                return;
            };
            let next = process.applied + 1;
            if self
                .delivery_times
                .get(next)
                .is_none_or(|d| d[entry.index()] > self.now)
            {
                break;
            }
            process.applied = next;
            let config = self.oracle.accepted[next].1.clone();
            self.with_admission(entry, |a, now| a.update_config(now, config));
        }
        // The applied configuration was current until the next one was accepted.
        let process = self.processes.get_mut(&entry).expect("a live process");
        let superseded = self.oracle.accepted.get(process.applied + 1).map(|a| a.0);
        let age = self.now - superseded.unwrap_or(self.now);
        let version = self.oracle.accepted[process.applied].1.version;
        process.confirmed |= process.started_at <= self.now - age;
        self.with_admission(entry, |a, now| a.confirm_config(now, version, age));
    }

    fn request(&mut self, entry: EntryId, request: AdmissionRequest) -> bool {
        let Some(process) = self.processes.get_mut(&entry) else {
            return false;
        };
        let deadline = self.now + request.remaining;
        match process.admission.request(self.now, request) {
            Decision::Dispatch(permit) => {
                assert!(!request.remaining.is_zero());
                self.handle_dispatch(entry, permit, request, deadline);
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

    /// Clears all faults, then checks that all slots become free and can be used.
    pub fn check_recovery(&mut self) {
        self.bounded_delivery = false;
        (0..3).for_each(|i| self.apply(&Op::Restart(i)));
        self.processes.values_mut().for_each(|p| p.cut_off = false);
        for id in 0..self.oracle.newest().topology.endpoints.len() {
            self.apply(&Op::Drain(id, false));
            self.apply(&Op::Observe(id, 3));
        }
        self.change_config(&ConfigChange::SetRegionLimit(HOME, 1_000));
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
            let request = admission_request(service, RequestClass::AtMostOnce, HOME, 900);
            let offered = (0..3 * slots).map(|i| EntryId((i % 3) as u16));
            let dispatched = offered.filter(|e| self.request(*e, request)).count();
            assert_eq!(
                dispatched, slots as usize,
                "dispatched requests of service {service}"
            );
        }
    }
}

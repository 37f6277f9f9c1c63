mod changes;
mod exchange;
mod reference;

use super::limiter::Limiter;
use super::{AllowanceReport, AllowanceScenario, Rejection, WorkspaceReport};
use mangospindle_allowance::{PeerUsage, UsageReply, UsageReport, UsageTable};
use mangospindle_fleet::timing::PEER_USAGE_INTERVAL;
use mangospindle_model::{Workspace, WorkspaceTable};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reference::Reference;
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay until an admitted request is rejected that has not run.
const REFUND_DELAY: Duration = Duration::from_millis(5);

/// Runs a scenario and reports the results.
pub fn run_allowances(scenario: &AllowanceScenario) -> AllowanceReport {
    let mut simulation = Simulation::new(scenario);
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        if at > scenario.duration {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.into_report()
}

enum Event {
    /// A caller sends a request of a workspace.
    Arrival(usize),
    /// Something happens at an entry. Ignored if its process has ended since.
    AtEntry {
        entry: usize,
        incarnation: u64,
        event: EntryEvent,
    },
    /// A report reaches a replica.
    Report {
        replica: usize,
        entry: usize,
        exchange: u64,
        report: UsageReport,
    },
    /// A replica sends its sums to the others.
    PeerExchange(usize),
    /// The sums of a replica reach another one.
    PeerUsage { replica: usize, usage: PeerUsage },
    /// A configuration reaches a replica.
    ReplicaLimits(usize, WorkspaceTable),
    /// The change with this index takes effect.
    Change(usize),
}

enum EntryEvent {
    /// A request arrives.
    Request { workspace: usize },
    /// An admitted request is rejected that has not run.
    Refund { workspace: usize },
    /// The time for a report has come.
    ReportDue { periodic: bool },
    /// A reply arrives.
    Reply {
        exchange: u64,
        report: UsageReport,
        reply: UsageReply,
    },
    /// A configuration arrives.
    Limits(WorkspaceTable),
}

struct EntryState {
    limiter: Limiter,
    incarnation: u64,
    is_alive: bool,
    is_frozen: bool,
    /// What has reached a frozen entry.
    waiting: Vec<EntryEvent>,
    replica: usize,
    reported_at: Duration,
    /// Number and time of the report without a reply.
    pending: Option<(u64, Duration)>,
    has_early_report: bool,
}

struct Simulation<'a> {
    scenario: &'a AllowanceScenario,
    rng: SmallRng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    table: WorkspaceTable,
    entries: Vec<EntryState>,
    replicas: Vec<UsageTable>,
    is_partitioned: bool,
    is_unreachable: bool,
    /// Multiples of the usual demand, by workspace and entry.
    factors: Vec<Vec<f64>>,
    /// What one token bucket for the whole deployment would decide, by workspace.
    reference: Vec<Reference>,
    reports: Vec<WorkspaceReport>,
    entry_bytes: usize,
    replica_bytes: usize,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a AllowanceScenario) -> Self {
        let mut table = WorkspaceTable::default();
        for (n, load) in scenario.workspaces.iter().enumerate() {
            let workspace = Workspace {
                allowance: Some(load.allowance),
                ..Workspace::default()
            };
            table.workspaces.insert(name(n), workspace);
        }
        let count = scenario.workspaces.len();
        let loads = scenario.workspaces.iter();
        let mut simulation = Simulation {
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            table,
            entries: Vec::new(),
            replicas: Vec::new(),
            is_partitioned: false,
            is_unreachable: false,
            factors: vec![vec![1.0; scenario.entries]; count],
            reference: (loads.clone().map(|l| Reference::new(l.allowance))).collect(),
            reports: (loads.map(|l| WorkspaceReport {
                allowances: vec![(Duration::ZERO, l.allowance)],
                ..WorkspaceReport::default()
            }))
            .collect(),
            entry_bytes: 0,
            replica_bytes: 0,
        };
        simulation.start();
        simulation
    }

    fn start(&mut self) {
        for n in 0..self.scenario.replicas {
            let table = self.new_replica(n);
            self.replicas.push(table);
            let offset = self.random_delay(PEER_USAGE_INTERVAL);
            self.schedule(offset, Event::PeerExchange(n));
        }
        for n in 0..self.scenario.entries {
            let entry = self.new_entry(n);
            self.entries.push(entry);
            self.schedule_first_report(n);
        }
        for n in 0..self.scenario.workspaces.len() {
            self.schedule_arrival(n);
        }
        for (n, (at, _)) in self.scenario.changes.iter().enumerate() {
            self.schedule(*at, Event::Change(n));
        }
    }

    fn new_entry(&mut self, n: usize) -> EntryState {
        let incarnation = self.rng.random();
        let (design, count) = (self.scenario.design, self.scenario.entries);
        let mut limiter = Limiter::new(design, count, format!("vm-{n}"), incarnation);
        limiter.set_limits(self.now, &self.table);
        EntryState {
            limiter,
            incarnation,
            is_alive: true,
            is_frozen: false,
            waiting: Vec::new(),
            replica: n % self.scenario.replicas,
            reported_at: Duration::ZERO,
            pending: None,
            has_early_report: false,
        }
    }

    fn new_replica(&mut self, n: usize) -> UsageTable {
        let mut table = UsageTable::new(n as u64, self.rng.random());
        table.set_limits(self.now, &self.table);
        table
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn schedule_at_entry(&mut self, after: Duration, entry: usize, event: EntryEvent) {
        let incarnation = self.entries[entry].incarnation;
        let event = Event::AtEntry {
            entry,
            incarnation,
            event,
        };
        self.schedule(after, event);
    }

    fn random_delay(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(workspace) => {
                self.schedule_arrival(workspace);
                self.route_arrival(workspace);
            }
            Event::AtEntry {
                entry,
                incarnation,
                event,
            } => match &mut self.entries[entry] {
                state if state.incarnation != incarnation || !state.is_alive => {}
                state if state.is_frozen => state.waiting.push(event),
                _ => self.handle_at_entry(entry, event),
            },
            Event::Report {
                replica,
                entry,
                exchange,
                report,
            } => self.respond(replica, entry, exchange, report),
            Event::PeerExchange(replica) => self.send_peer_usage(replica),
            Event::PeerUsage { replica, usage } => {
                self.replicas[replica].record_peer(self.now, &usage);
            }
            Event::ReplicaLimits(replica, table) => {
                self.replicas[replica].set_limits(self.now, &table);
            }
            Event::Change(n) => self.apply_change(n),
        }
    }

    fn handle_at_entry(&mut self, entry: usize, event: EntryEvent) {
        match event {
            EntryEvent::Request { workspace } => self.decide(entry, workspace),
            EntryEvent::Refund { workspace } => {
                let limiter = &mut self.entries[entry].limiter;
                limiter.refund(self.now, &name(workspace));
                self.reference[workspace].charge(self.now, -1.0);
            }
            EntryEvent::ReportDue { periodic } => self.send_report(entry, periodic),
            EntryEvent::Reply {
                exchange,
                report,
                reply,
            } => self.apply_reply(entry, exchange, &report, &reply),
            EntryEvent::Limits(table) => {
                self.entries[entry].limiter.set_limits(self.now, &table);
            }
        }
    }

    /// Schedules the next request at the entry with the largest demand, as if all had as much.
    fn schedule_arrival(&mut self, workspace: usize) {
        let rate = self.scenario.workspaces[workspace].usual_rate * self.peak_factor(workspace);
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate.max(1e-6);
        self.schedule(
            Duration::from_secs_f64(gap.min(3600.0)),
            Event::Arrival(workspace),
        );
    }

    fn peak_factor(&self, workspace: usize) -> f64 {
        self.factors[workspace].iter().copied().fold(0.0, f64::max)
    }

    /// Draws an entry for a request; entries with less demand than the largest drop a part.
    fn route_arrival(&mut self, workspace: usize) {
        let entry = self.rng.random_range(0..self.entries.len());
        let fraction = self.factors[workspace][entry] / self.peak_factor(workspace);
        if self.rng.random_range(0.0..1.0) >= fraction {
            return;
        }
        let entry = match self.entries[entry].is_alive {
            true => entry,
            false => self.random_live_entry(),
        };
        let event = EntryEvent::Request { workspace };
        self.schedule_at_entry(Duration::ZERO, entry, event);
    }

    fn random_live_entry(&mut self) -> usize {
        let live = |n: &usize| self.entries[*n].is_alive;
        let live: Vec<usize> = (0..self.entries.len()).filter(live).collect();
        live[self.rng.random_range(0..live.len())]
    }

    fn decide(&mut self, entry: usize, workspace: usize) {
        let limiter = &mut self.entries[entry].limiter;
        match limiter.admit(self.now, &name(workspace)) {
            Ok(()) => self.run_request(entry, workspace),
            Err(retry_after) => self.reject(workspace, retry_after),
        }
        self.schedule_early_report(entry);
    }

    fn run_request(&mut self, entry: usize, workspace: usize) {
        self.reference[workspace].charge(self.now, 1.0);
        match self.rng.random_range(0.0..1.0) < self.scenario.refunded_fraction {
            true => self.schedule_at_entry(REFUND_DELAY, entry, EntryEvent::Refund { workspace }),
            false => self.reports[workspace].runs.push(self.now),
        }
    }

    fn reject(&mut self, workspace: usize, retry_after: Duration) {
        let within_allowance = self.reference[workspace].had_tokens(self.now);
        self.reports[workspace].rejections.push(Rejection {
            at: self.now,
            retry_after,
            within_allowance,
        });
    }

    fn into_report(self) -> AllowanceReport {
        let seconds = self.scenario.duration.as_secs_f64();
        AllowanceReport {
            workspaces: self.reports,
            bytes_per_second_entry: self.entry_bytes as f64
                / seconds
                / self.scenario.entries as f64,
            bytes_per_second_replica: self.replica_bytes as f64
                / seconds
                / self.scenario.replicas as f64,
        }
    }
}

fn name(workspace: usize) -> String {
    format!("workspace-{workspace}")
}

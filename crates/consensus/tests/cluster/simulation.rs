use crate::{disk::*, oracle::Oracle};
use mangospindle_consensus::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use uuid::Uuid;

const TICK: Duration = Duration::from_millis(20);
/// Copies of messages that are kept for `Op::Replay`.
const KEPT_MESSAGES: usize = 400;

/// Bytes that may be on the way to a follower.
pub const WINDOW_BYTES: usize = 600;

pub enum Event {
    Tick(usize),
    Deliver(Message),
    /// The storage, the number of its start, and what its sync covers.
    Synced(usize, u64, u64, u64),
}

pub struct Replica {
    pub node: Option<Node>,
    pub member: Member,
    pub disk: Disk,
    pub starts: u64,
    pub rate: f64,
    pub origin: Duration,
    pub frozen_until: Duration,
    /// Outputs until the process is killed.
    pub outputs_left: Option<u8>,
}

/// What a replica that starts now is told about the others.
#[derive(Clone)]
pub struct Group {
    pub seeds: Vec<usize>,
    pub open_membership: bool,
    pub may_form: bool,
}

pub struct Simulation {
    pub now: Duration,
    pub steps: u64,
    pub oracle: Oracle,
    pub count: usize,
    pub hasty: bool,
    pub group: Group,
    pub replicas: Vec<Replica>,
    pub lost: BTreeMap<Member, Disk>,
    pub lost_while_forming: usize,
    events: BTreeMap<(Duration, u64), Event>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub kept: Vec<Message>,
    pub loss: f64,
    pub random: StdRng,
    sequence: u64,
    /// Bytes of commands sent to each replica.
    pub sent_bytes: Vec<usize>,
}

/// Silence after which a member of an open membership can be taken for gone.
pub const REPLACE_AFTER: Duration = Duration::from_secs(2);

pub fn settings(member: Member, group: &Group, hasty: bool) -> NodeSettings {
    let (shortest, longest) = if hasty { (140, 160) } else { (500, 1000) };
    NodeSettings {
        member,
        replicas: group.seeds.iter().map(|r| ReplicaId(*r as u32)).collect(),
        open_membership: group.open_membership,
        may_form: group.may_form,
        timing: Timing {
            replacement_timeout: REPLACE_AFTER,
            max_in_flight_bytes: WINDOW_BYTES,
            max_in_flight_appends: 8,
            max_append_bytes: if hasty { 60 } else { 200 },
            retained_entries: 3,
            initial_election_stagger: Duration::from_millis(shortest / 5),
            snapshot_retry_interval: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(shortest / 5),
            election_timeout_min: Duration::from_millis(shortest),
            election_timeout_max: Duration::from_millis(longest),
        },
    }
}

impl Simulation {
    pub fn new(count: usize, seed: u64, hasty: bool) -> Self {
        let group = Group {
            seeds: (0..count).collect(),
            open_membership: false,
            may_form: true,
        };
        Self::with_group(count, group, seed, hasty)
    }

    pub fn with_group(count: usize, group: Group, seed: u64, hasty: bool) -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(10),
            steps: 0,
            oracle: Oracle::default(),
            count,
            hasty,
            group,
            replicas: Vec::new(),
            lost: BTreeMap::new(),
            lost_while_forming: 0,
            events: BTreeMap::new(),
            cuts: BTreeSet::new(),
            kept: Vec::new(),
            loss: 0.0,
            random: StdRng::seed_from_u64(seed),
            sequence: 0,
            sent_bytes: Vec::new(),
        };
        (0..count).for_each(|_| simulation.add_replica());
        simulation
    }

    /// Starts a replica with the next number and an empty disk.
    pub fn add_replica(&mut self) {
        let number = self.replicas.len();
        let replica = Replica {
            node: None,
            member: self.new_member(number),
            disk: Disk::default(),
            starts: 0,
            rate: self.random.random_range(0.995..=1.005),
            origin: Duration::ZERO,
            frozen_until: Duration::ZERO,
            outputs_left: None,
        };
        self.replicas.push(replica);
        self.sent_bytes.push(0);
        self.start(number);
        self.schedule(TICK, Event::Tick(number));
    }

    pub fn node(&self, replica: usize) -> Option<&Node> {
        self.replicas[replica].node.as_ref()
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |r: &usize| self.node(*r).is_some_and(|n| n.role() == Role::Leader);
        let leaders = (0..self.replicas.len()).filter(leads);
        leaders.max_by_key(|r| self.node(*r).map(Node::term))
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(next) = self.events.first_entry() {
            if next.key().0 > end {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    pub fn new_member(&mut self, replica: usize) -> Member {
        Member {
            replica: ReplicaId(replica as u32),
            storage: StorageId(Uuid::from_u128(self.random.random())),
        }
    }

    pub fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    pub fn schedule(&mut self, delay: Duration, event: Event) {
        let key = (self.now + delay, self.next_number());
        self.events.insert(key, event);
    }

    pub fn local(&self, replica: usize) -> Duration {
        local_time(&self.replicas[replica], self.now)
    }

    fn handle(&mut self, event: Event) {
        let (number, thaw) = match &event {
            Event::Tick(number) => (*number, self.replicas[*number].frozen_until),
            Event::Synced(number, ..) => (*number, self.replicas[*number].frozen_until),
            Event::Deliver(message) => {
                let number = message.to.replica.0 as usize;
                (number, self.replicas[number].frozen_until)
            }
        };
        if thaw > self.now {
            return self.schedule(thaw - self.now, event);
        }
        match event {
            Event::Tick(_) => {
                self.step(number, vec![Input::Tick]);
                self.schedule(TICK, Event::Tick(number));
            }
            Event::Deliver(message) => self.step(number, vec![Input::Message(message)]),
            Event::Synced(_, start, index, term) if start == self.replicas[number].starts => {
                if self.node(number).is_some() {
                    self.replicas[number].disk.sync();
                    self.step(number, vec![Input::Persisted { index, term }]);
                }
            }
            Event::Synced(..) => {}
        }
    }

    pub fn step(&mut self, number: usize, inputs: Vec<Input>) {
        let local = self.local(number);
        if self.replicas[number].frozen_until > self.now {
            return;
        }
        let Some(node) = &mut self.replicas[number].node else {
            return;
        };
        self.steps += 1;
        let outputs = node.step_all(local, inputs);
        if node.role() == Role::Leader {
            self.oracle.check_leader(node);
        }
        let voters = node.membership().clone();
        for output in outputs {
            match &mut self.replicas[number].outputs_left {
                Some(0) => return self.kill(number),
                Some(left) => *left -= 1,
                None => {}
            }
            self.carry_out(number, output, &voters);
        }
        if let Some(node) = self.node(number) {
            self.oracle.check_age(node, local, self.now);
        }
    }

    fn carry_out(&mut self, number: usize, output: Output, membership: &Membership) {
        let disk = &mut self.replicas[number].disk;
        match output {
            Output::PersistHardState(hard_state) => {
                disk.pending.push(Write::HardState(hard_state));
                disk.sync();
            }
            Output::PersistEntries(entries) => {
                let last = entries.last().expect("entries");
                let (index, term) = (last.index, last.term);
                disk.pending.push(Write::Entries(entries));
                let start = self.replicas[number].starts;
                let slow = self.hasty && self.random.random_bool(0.1);
                let range = if slow { 0..300_000 } else { 100..20_000 };
                let delay = Duration::from_micros(self.random.random_range(range));
                self.schedule(delay, Event::Synced(number, start, index, term));
            }
            Output::PersistSnapshot(snapshot) => {
                self.oracle.check_snapshot(&snapshot);
                disk.pending.push(Write::Snapshot(snapshot, false));
                disk.sync();
            }
            Output::SaveSnapshot(snapshot) => disk.pending.push(Write::Snapshot(snapshot, true)),
            Output::Send(message) => self.transmit(message),
            Output::Commit(entry) => {
                if self.oracle.check_commit(&entry, self.now) && entry.term > 1 {
                    self.check_durable(&entry, membership);
                }
            }
            Output::ProposalCommitted { id, index } => self.oracle.check_accepted(id, index),
            Output::ProposalFailed { id, error } => self.oracle.check_failed(id, error),
            Output::RoleChanged(_) => {}
        }
    }

    /// A committed entry is synced at a majority, lost disks included.
    fn check_durable(&self, entry: &Entry, membership: &Membership) {
        let holds = |voter: &&Member| {
            let present = self.replicas.iter().find(|r| r.member == **voter);
            let disk = present.map(|r| &r.disk).or_else(|| self.lost.get(*voter));
            disk.is_some_and(|d| d.holds(entry.index, entry.term))
        };
        let count = membership.voters.iter().filter(holds).count();
        assert!(count >= membership.majority(), "{count} have {entry:?}");
    }

    fn transmit(&mut self, message: Message) {
        let from = message.from.replica.0 as usize;
        let to = message.to.replica.0 as usize;
        if let MessageKind::Append { entries, .. } = &message.kind {
            let commands = entries.iter().map(|e| match &e.payload {
                Payload::Command(command) => command.len(),
                _ => 0,
            });
            self.sent_bytes[to] += commands.sum::<usize>();
        }
        if self.kept.len() < KEPT_MESSAGES {
            self.kept.push(message.clone());
        } else {
            let slot = self.random.random_range(0..KEPT_MESSAGES * 10);
            if let Some(kept) = self.kept.get_mut(slot) {
                *kept = message.clone();
            }
        }
        let lost = self.random.random_bool(self.loss);
        if lost || to >= self.replicas.len() || self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.random.random_bool(0.02);
            let range = if slow { 0..400_000 } else { 500..25_000 };
            let delay = Duration::from_micros(self.random.random_range(range));
            self.schedule(delay, Event::Deliver(message.clone()));
        }
    }
}

pub fn local_time(replica: &Replica, now: Duration) -> Duration {
    (now - replica.origin).mul_f64(replica.rate)
}

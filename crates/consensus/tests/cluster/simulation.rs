use crate::{disk::*, oracle::Oracle, schedule::*};
use mangospindle_consensus::*;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use uuid::Uuid;

const TICK: Duration = Duration::from_millis(20);
/// Copies of messages that are kept for `Op::Replay`.
const KEPT_MESSAGES: usize = 400;

enum Event {
    Tick(usize),
    Deliver(Message),
    /// The storage, the number of its start, and what its sync covers.
    Synced(usize, u64, u64, u64),
}

struct Replica {
    node: Option<Node>,
    member: Member,
    disk: Disk,
    starts: u64,
    rate: f64,
    origin: Duration,
    frozen_until: Duration,
    /// Outputs until the process is killed.
    outputs_left: Option<u8>,
}

pub struct Simulation {
    pub now: Duration,
    pub steps: u64,
    pub oracle: Oracle,
    count: usize,
    replicas: Vec<Replica>,
    lost: BTreeMap<Member, Disk>,
    lost_while_forming: usize,
    events: BTreeMap<(Duration, u64), Event>,
    cuts: BTreeSet<(usize, usize)>,
    kept: Vec<Message>,
    loss: f64,
    random: StdRng,
    sequence: u64,
}

fn settings(member: Member, count: usize) -> NodeSettings {
    NodeSettings {
        member,
        replicas: (0..count as u16).map(ReplicaId).collect(),
        timing: Timing {
            max_in_flight_bytes: 600,
            max_in_flight_appends: 4,
            max_append_bytes: 200,
            keep_entries: 3,
            snapshot_retry: Duration::from_millis(500),
            ..Timing::default()
        },
    }
}

impl Simulation {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(10),
            steps: 0,
            oracle: Oracle::default(),
            count,
            replicas: Vec::new(),
            lost: BTreeMap::new(),
            lost_while_forming: 0,
            events: BTreeMap::new(),
            cuts: BTreeSet::new(),
            kept: Vec::new(),
            loss: 0.0,
            random: StdRng::seed_from_u64(seed),
            sequence: 0,
        };
        for number in 0..count {
            let replica = Replica {
                node: None,
                member: simulation.new_member(number),
                disk: Disk::default(),
                starts: 0,
                rate: simulation.random.random_range(0.995..=1.005),
                origin: Duration::ZERO,
                frozen_until: Duration::ZERO,
                outputs_left: None,
            };
            simulation.replicas.push(replica);
            simulation.start(number);
            simulation.schedule(TICK, Event::Tick(number));
        }
        simulation
    }

    /// Runs a whole schedule, then checks that the cluster recovers if it can.
    pub fn play(schedule: &Schedule, count: usize) -> Self {
        let mut simulation = Self::new(count, schedule.seed);
        if !schedule.early {
            simulation.run(Duration::from_secs(4));
        }
        for (op, pause) in &schedule.steps {
            simulation.perform(*op);
            simulation.run(Duration::from_millis(u64::from(*pause)));
        }
        simulation.repair_everything();
        simulation.run(Duration::from_secs(12));
        // A proposal that is complete at one replica needs a majority of its voters.
        if simulation.lost_while_forming * 2 < count {
            simulation.check_recovered();
        }
        simulation
    }

    pub fn repair_everything(&mut self) {
        self.perform(Op::Heal);
        self.perform(Op::Loss(0));
        for replica in 0..self.replicas.len() {
            self.replicas[replica].outputs_left = None;
            self.replicas[replica].frozen_until = Duration::ZERO;
            self.perform(Op::Restart(replica));
        }
    }

    /// All members agree, are confirmed, and accept new commands.
    pub fn check_recovered(&mut self) {
        if !self.accepts() {
            let state = |r: &Replica| {
                let seen = r.node.as_ref().map(|n| (n.term(), n.membership()));
                let formation = &r.disk.synced.hard_state.formation;
                format!("{:?} {seen:?} {formation:?}", r.member)
            };
            let states: Vec<_> = self.replicas.iter().map(state).collect();
            panic!("no command accepted after all repairs: {states:#?}");
        }
        self.run(Duration::from_secs(2));
        let length = self.oracle.committed.len() as u64;
        let leader = self.leader().expect("a leader");
        let membership = self.node(leader).expect("running").membership().clone();
        for replica in 0..self.replicas.len() {
            let local = self.local(replica);
            match self.node(replica) {
                Some(node) if membership.contains(node.member()) => {
                    assert_eq!(node.commit_index(), length, "{replica} is behind");
                    let age = node.confirmed_age(local).expect("a confirmed age");
                    assert!(age < Duration::from_secs(1), "{replica}: age {age:?}");
                }
                _ => {}
            }
        }
    }

    /// Whether a command is accepted within five seconds.
    pub fn accepts(&mut self) -> bool {
        let before = self.oracle.accepted.len();
        for _ in 0..50 {
            for replica in 0..self.replicas.len() {
                self.perform(Op::Propose(replica, 1));
            }
            self.run(Duration::from_millis(100));
        }
        self.oracle.accepted.len() > before
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

    pub fn perform(&mut self, op: Op) {
        match op {
            Op::Propose(replica, count) => {
                let inputs: Vec<_> = (0..count)
                    .map(|_| {
                        let id = self.next_number();
                        let mut command = id.to_le_bytes().to_vec();
                        command.resize(8 + id as usize % 90, 0);
                        let id = ProposalId(id);
                        Input::Propose { id, command }
                    })
                    .collect();
                self.step(replica, inputs);
            }
            Op::Kill(replica) => self.kill(replica),
            Op::KillWithin(replica, outputs) => self.replicas[replica].outputs_left = Some(outputs),
            Op::Restart(replica) if self.node(replica).is_none() => self.start(replica),
            Op::Restart(_) => {}
            Op::LoseDisk(replica) if self.may_lose(replica) => self.lose_disk(replica),
            Op::LoseDisk(_) => {}
            Op::Cut(from, to) => drop(self.cuts.insert((from, to))),
            Op::Isolate(replica) => {
                let pairs = (0..self.replicas.len()).flat_map(|o| [(o, replica), (replica, o)]);
                self.cuts.extend(pairs);
            }
            Op::Heal => self.cuts.clear(),
            Op::Freeze(replica, ms) => {
                let until = self.now + Duration::from_millis(u64::from(ms));
                self.replicas[replica].frozen_until = until;
            }
            Op::Compact(replica) => {
                let index = self.node(replica).map_or(0, Node::commit_index);
                let data = self.oracle.digest(index).to_le_bytes().to_vec();
                self.step(replica, vec![Input::Compact { index, data }]);
            }
            Op::Transfer(to) => {
                let to = Some(ReplicaId(to as u16));
                if let Some(leader) = self.leader() {
                    self.step(leader, vec![Input::TransferLeadership { to }]);
                }
            }
            Op::Change(replica) => self.change(replica),
            Op::Replay(count) => {
                for _ in 0..count {
                    let delay = Duration::from_millis(self.random.random_range(0..300));
                    if let Some(message) = self.kept.choose(&mut self.random).cloned() {
                        self.schedule(delay, Event::Deliver(message));
                    }
                }
            }
            Op::Loss(percent) => self.loss = f64::from(percent) / 100.0,
        }
    }

    pub fn lose_disk(&mut self, replica: usize) {
        self.kill(replica);
        let formed = |r: &Replica| !r.disk.membership().voters.is_empty();
        self.lost_while_forming += usize::from(!self.replicas.iter().all(formed));
        let member = self.new_member(replica);
        let replica = &mut self.replicas[replica];
        let lost = std::mem::take(&mut replica.disk);
        self.lost.insert(replica.member, lost);
        replica.member = member;
    }

    /// A loss is within the stated bounds if less than half of the voters are lost in every
    /// membership that may be in force.
    fn may_lose(&self, replica: usize) -> bool {
        let member = self.replicas[replica].member;
        let on_disk = self.replicas.iter().map(|r| r.disk.membership());
        let running = self.replicas.iter().filter_map(|r| r.node.as_ref());
        let in_memory = running.map(|n| n.membership().clone());
        on_disk.chain(in_memory).all(|m| self.survives(&m, member))
    }

    fn survives(&self, membership: &Membership, also_lost: Member) -> bool {
        let gone = |v: &&Member| **v == also_lost || self.lost.contains_key(*v);
        let voters = &membership.voters;
        voters.is_empty() || voters.iter().filter(gone).count() * 2 < voters.len()
    }

    fn change(&mut self, replica: usize) {
        let member = self.replicas[replica].member;
        let Some(leader) = self.leader() else { return };
        let Some(node) = self.node(leader) else {
            return;
        };
        let mut membership = node.membership().clone();
        if !membership.is_voter(member) {
            membership.learners.push(member);
        } else if membership.voters.len() > 3 {
            membership.voters.retain(|v| *v != member);
        }
        // The operator does not remove one of the last voters that still have their disks.
        if !self.survives(&membership, member) {
            return;
        }
        let id = ProposalId(self.next_number());
        self.step(leader, vec![Input::ChangeMembership { id, membership }]);
    }

    fn new_member(&mut self, replica: usize) -> Member {
        Member {
            replica: ReplicaId(replica as u16),
            storage: StorageId(Uuid::from_u128(self.random.random())),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let key = (self.now + delay, self.next_number());
        self.events.insert(key, event);
    }

    fn start(&mut self, number: usize) {
        let seed = self.random.random();
        let count = self.count;
        let replica = &mut self.replicas[number];
        replica.starts += 1;
        // The clock of a process starts anywhere.
        let offset = self.random.random_range(0..5000);
        replica.origin = self.now - Duration::from_millis(offset);
        let recovered = replica.disk.synced.clone();
        if let Some(snapshot) = &recovered.snapshot {
            self.oracle.check_snapshot(snapshot);
        }
        let settings = settings(replica.member, count);
        let local = local_time(replica, self.now);
        let node = Node::new(settings, recovered, seed, local);
        replica.node = Some(node.expect("a disk without damage"));
    }

    fn kill(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        replica.node = None;
        replica.outputs_left = None;
        let survivors = self.random.random_range(0..=replica.disk.pending.len());
        replica.disk.crash(survivors, self.random.random());
    }

    fn local(&self, replica: usize) -> Duration {
        local_time(&self.replicas[replica], self.now)
    }

    fn handle(&mut self, event: Event) {
        let (number, thaw) = match &event {
            Event::Tick(number) => (*number, self.replicas[*number].frozen_until),
            Event::Synced(number, ..) => (*number, self.replicas[*number].frozen_until),
            Event::Deliver(message) => {
                let number = usize::from(message.to.replica.0);
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

    fn step(&mut self, number: usize, inputs: Vec<Input>) {
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
                let delay = Duration::from_micros(self.random.random_range(100..20_000));
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
            Output::Accepted { id, index } => self.oracle.check_accepted(id, index),
            Output::Failed { id, error } => self.oracle.check_failed(id, error),
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
        let from = usize::from(message.from.replica.0);
        let to = usize::from(message.to.replica.0);
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

fn local_time(replica: &Replica, now: Duration) -> Duration {
    (now - replica.origin).mul_f64(replica.rate)
}

use crate::{disk::*, oracle::Oracle};
use mangospindle_consensus::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use uuid::Uuid;

const TICK: Duration = Duration::from_millis(20);
/// Maximum number of messages that are recorded for `Op::Replay`.
const MAX_RECORDED_MESSAGES: usize = 400;

/// Limit on the bytes of entries in flight to a follower.
pub const WINDOW_BYTES: usize = 600;

pub enum Event {
    Tick(usize),
    Deliver(Message),
    /// A sync of a replica's disk has finished: the replica, its start count, and the index and
    /// term of the last synced entry.
    Synced(usize, u64, u64, u64),
}

pub struct Replica {
    pub node: Option<Node>,
    pub member: Member,
    pub disk: Disk,
    pub start_count: u64,
    pub clock_rate: f64,
    pub clock_origin: Duration,
    pub frozen_until: Duration,
    /// Number of outputs until the process is killed.
    pub remaining_outputs: Option<u8>,
}

/// Settings about the cluster that a replica receives when it starts.
#[derive(Clone)]
pub struct StartSettings {
    pub seed_replicas: Vec<usize>,
    pub open_membership: bool,
    pub tolerated_losses: Option<usize>,
    pub may_form: bool,
}

pub struct Simulation {
    pub now: Duration,
    pub steps: u64,
    pub oracle: Oracle,
    pub replica_count: usize,
    pub short_timeouts: bool,
    pub start_settings: StartSettings,
    pub replicas: Vec<Replica>,
    pub lost_disks: BTreeMap<Member, Disk>,
    pub disks_lost_while_forming: usize,
    events: BTreeMap<(Duration, u64), Event>,
    pub cut_links: BTreeSet<(usize, usize)>,
    pub recorded_messages: Vec<Message>,
    pub loss_probability: f64,
    pub rng: StdRng,
    sequence: u64,
    /// Bytes of commands sent to each replica.
    pub sent_bytes: Vec<usize>,
}

/// Time without a reply after which a member of an open membership may be replaced.
pub const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(2);

pub fn settings(
    member: Member,
    start_settings: &StartSettings,
    short_timeouts: bool,
) -> NodeSettings {
    let (shortest, longest) = if short_timeouts {
        (140, 160)
    } else {
        (500, 1000)
    };
    NodeSettings {
        member,
        replicas: start_settings
            .seed_replicas
            .iter()
            .map(|r| ReplicaId(*r as u32))
            .collect(),
        open_membership: start_settings.open_membership,
        tolerated_losses: start_settings.tolerated_losses,
        may_form: start_settings.may_form,
        timing: Timing {
            replacement_timeout: REPLACEMENT_TIMEOUT,
            expiry_timeout: REPLACEMENT_TIMEOUT * 5,
            max_in_flight_bytes: WINDOW_BYTES,
            max_in_flight_appends: 8,
            max_append_bytes: if short_timeouts { 60 } else { 200 },
            retained_entries: 3,
            retained_bytes: WINDOW_BYTES,
            initial_election_stagger: Duration::from_millis(shortest / 5),
            snapshot_retry_interval: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(shortest / 5),
            election_timeout_min: Duration::from_millis(shortest),
            election_timeout_max: Duration::from_millis(longest),
        },
    }
}

impl Simulation {
    pub fn new(replica_count: usize, seed: u64, short_timeouts: bool) -> Self {
        let start_settings = StartSettings {
            seed_replicas: (0..replica_count).collect(),
            open_membership: false,
            tolerated_losses: None,
            may_form: true,
        };
        Self::with_start_settings(replica_count, start_settings, seed, short_timeouts)
    }

    pub fn with_start_settings(
        replica_count: usize,
        start_settings: StartSettings,
        seed: u64,
        short_timeouts: bool,
    ) -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(10),
            steps: 0,
            oracle: Oracle::default(),
            replica_count,
            short_timeouts,
            start_settings,
            replicas: Vec::new(),
            lost_disks: BTreeMap::new(),
            disks_lost_while_forming: 0,
            events: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            recorded_messages: Vec::new(),
            loss_probability: 0.0,
            rng: StdRng::seed_from_u64(seed),
            sequence: 0,
            sent_bytes: Vec::new(),
        };
        (0..replica_count).for_each(|_| simulation.add_replica());
        simulation
    }

    /// Adds a replica with the next number and an empty disk, and starts it.
    pub fn add_replica(&mut self) {
        let number = self.replicas.len();
        let replica = Replica {
            node: None,
            member: self.new_member(number),
            disk: Disk::default(),
            start_count: 0,
            clock_rate: self.rng.random_range(0.995..=1.005),
            clock_origin: Duration::ZERO,
            frozen_until: Duration::ZERO,
            remaining_outputs: None,
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
            storage: StorageId(Uuid::from_u128(self.rng.random())),
        }
    }

    pub fn next_sequence_number(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    pub fn schedule(&mut self, delay: Duration, event: Event) {
        let key = (self.now + delay, self.next_sequence_number());
        self.events.insert(key, event);
    }

    pub fn local_now(&self, replica: usize) -> Duration {
        local_time(&self.replicas[replica], self.now)
    }

    fn handle(&mut self, event: Event) {
        let (number, resume_at) = match &event {
            Event::Tick(number) => (*number, self.replicas[*number].frozen_until),
            Event::Synced(number, ..) => (*number, self.replicas[*number].frozen_until),
            Event::Deliver(message) => {
                let number = message.to.replica.0 as usize;
                (number, self.replicas[number].frozen_until)
            }
        };
        if resume_at > self.now {
            return self.schedule(resume_at - self.now, event);
        }
        match event {
            Event::Tick(_) => {
                self.step(number, vec![Input::Tick]);
                self.schedule(TICK, Event::Tick(number));
            }
            Event::Deliver(message) => self.step(number, vec![Input::Message(message)]),
            Event::Synced(_, start, index, term) if start == self.replicas[number].start_count => {
                if self.node(number).is_some() {
                    self.replicas[number].disk.sync();
                    self.step(number, vec![Input::Persisted { index, term }]);
                }
            }
            Event::Synced(..) => {}
        }
    }

    pub fn step(&mut self, number: usize, inputs: Vec<Input>) {
        let local_now = self.local_now(number);
        if self.replicas[number].frozen_until > self.now {
            return;
        }
        let Some(node) = &mut self.replicas[number].node else {
            return;
        };
        self.steps += 1;
        let outputs = node.step_all(local_now, inputs);
        if node.role() == Role::Leader {
            self.oracle.check_leader(node);
        }
        let voters = node.membership().clone();
        for output in outputs {
            match &mut self.replicas[number].remaining_outputs {
                Some(0) => return self.kill(number),
                Some(left) => *left -= 1,
                None => {}
            }
            self.execute_output(number, output, &voters);
        }
        if let Some(node) = self.node(number) {
            self.oracle.check_age(node, local_now, self.now);
        }
    }

    fn execute_output(&mut self, number: usize, output: Output, membership: &Membership) {
        let disk = &mut self.replicas[number].disk;
        match output {
            Output::PersistHardState(hard_state) => {
                disk.pending.push(Write::HardState(hard_state));
                disk.sync();
            }
            Output::PersistEntries(entries) => {
                let last = entries
                    .last()
                    .expect("entries to persist should not be empty");
                let (index, term) = (last.index, last.term);
                disk.pending.push(Write::Entries(entries));
                let start = self.replicas[number].start_count;
                let slow = self.short_timeouts && self.rng.random_bool(0.1);
                let range = if slow { 0..300_000 } else { 100..20_000 };
                let delay = Duration::from_micros(self.rng.random_range(range));
                self.schedule(delay, Event::Synced(number, start, index, term));
            }
            Output::PersistSnapshot(snapshot) => {
                self.oracle.check_snapshot(&snapshot);
                disk.pending.push(Write::Snapshot(snapshot, false));
                disk.sync();
            }
            Output::SaveSnapshot(snapshot) => disk.pending.push(Write::Snapshot(snapshot, true)),
            Output::Send(message) => self.send_message(message),
            Output::Commit(entry) => {
                if self.oracle.check_commit(&entry, self.now) && entry.term > 1 {
                    self.check_durable(&entry, membership);
                }
            }
            Output::ProposalCommitted { id, index } => {
                self.oracle.check_proposal_committed(id, index)
            }
            Output::ProposalFailed { id, error } => self.oracle.check_proposal_failed(id, error),
            Output::RoleChanged(_) => {}
        }
    }

    /// Checks that a majority has synced a committed entry. Disks that were lost since count as
    /// well.
    fn check_durable(&self, entry: &Entry, membership: &Membership) {
        let contains_entry = |voter: &&Member| {
            let present = self.replicas.iter().find(|r| r.member == **voter);
            let disk = present
                .map(|r| &r.disk)
                .or_else(|| self.lost_disks.get(*voter));
            disk.is_some_and(|d| d.contains_entry(entry.index, entry.term))
        };
        let count = membership.voters.iter().filter(contains_entry).count();
        assert!(
            count >= membership.majority(),
            "only {count} voters have synced {entry:?}"
        );
    }

    fn send_message(&mut self, message: Message) {
        let from = message.from.replica.0 as usize;
        let to = message.to.replica.0 as usize;
        if let MessageKind::Append { entries, .. } = &message.kind {
            let commands = entries.iter().map(|e| match &e.payload {
                Payload::Command(command) => command.len(),
                _ => 0,
            });
            self.sent_bytes[to] += commands.sum::<usize>();
        }
        if self.recorded_messages.len() < MAX_RECORDED_MESSAGES {
            self.recorded_messages.push(message.clone());
        } else {
            let slot = self.rng.random_range(0..MAX_RECORDED_MESSAGES * 10);
            if let Some(recorded) = self.recorded_messages.get_mut(slot) {
                *recorded = message.clone();
            }
        }
        let dropped = self.rng.random_bool(self.loss_probability);
        if dropped || to >= self.replicas.len() || self.cut_links.contains(&(from, to)) {
            return;
        }
        let copies = if self.rng.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.02);
            let range = if slow { 0..400_000 } else { 500..25_000 };
            let delay = Duration::from_micros(self.rng.random_range(range));
            self.schedule(delay, Event::Deliver(message.clone()));
        }
    }
}

pub fn local_time(replica: &Replica, now: Duration) -> Duration {
    (now - replica.clock_origin).mul_f64(replica.clock_rate)
}

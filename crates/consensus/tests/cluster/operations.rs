use crate::{schedule::*, simulation::*};
use mangospindle_consensus::*;
use rand::{Rng, seq::IndexedRandom};
use std::time::Duration;

impl Simulation {
    /// Runs a whole schedule, clears all faults and checks that the cluster recovers, unless too
    /// many disks were lost while it formed.
    pub fn run_schedule(schedule: &Schedule, replica_count: usize) -> Self {
        let mut simulation = Self::new(replica_count, schedule.seed, schedule.short_timeouts);
        if schedule.initially_stopped {
            (0..replica_count).for_each(|replica| simulation.kill(replica));
        }
        if !schedule.faults_before_formation {
            simulation.run(Duration::from_secs(4));
        }
        for (op, pause) in &schedule.steps {
            simulation.perform(*op);
            simulation.run(Duration::from_millis(u64::from(*pause)));
        }
        simulation.clear_faults();
        simulation.run(Duration::from_secs(12));
        // A proposed membership that is complete at one replica needs a majority of its voters.
        if simulation.disks_lost_while_forming * 2 < replica_count {
            simulation.check_recovered();
        }
        simulation
    }

    pub fn clear_faults(&mut self) {
        self.perform(Op::Heal);
        self.perform(Op::Loss(0));
        for replica in 0..self.replicas.len() {
            self.replicas[replica].remaining_outputs = None;
            self.replicas[replica].frozen_until = Duration::ZERO;
            self.perform(Op::Restart(replica));
        }
    }

    /// Checks that the cluster accepts new commands, and that all members have all commits and a
    /// recent confirmation.
    pub fn check_recovered(&mut self) {
        if !self.accepts_commands() {
            let describe = |r: &Replica| {
                let view = r.node.as_ref().map(|n| (n.term(), n.membership()));
                let formation = &r.disk.synced.hard_state.formation;
                format!("{:?} {view:?} {formation:?}", r.member)
            };
            let states: Vec<_> = self.replicas.iter().map(describe).collect();
            panic!("no command accepted after all faults were cleared: {states:#?}");
        }
        self.run(Duration::from_secs(2));
        let length = self.oracle.committed.len() as u64;
        let leader = self.leader().expect("the cluster should have a leader");
        let membership = self
            .node(leader)
            .expect("the leader should be running")
            .membership()
            .clone();
        for replica in 0..self.replicas.len() {
            let local_now = self.local_now(replica);
            match self.node(replica) {
                Some(node) if membership.contains(node.member()) => {
                    assert_eq!(
                        node.commit_index(),
                        length,
                        "replica {replica} has not committed all entries"
                    );
                    let age = node
                        .confirmed_age(local_now)
                        .expect("the member should have a confirmed age");
                    assert!(
                        age < Duration::from_secs(1),
                        "replica {replica}: confirmed age {age:?}"
                    );
                }
                _ => {}
            }
        }
    }

    /// Returns whether a command is accepted within five seconds.
    pub fn accepts_commands(&mut self) -> bool {
        let before = self.oracle.committed_proposals.len();
        for _ in 0..50 {
            for replica in 0..self.replicas.len() {
                self.perform(Op::Propose(replica, 1));
            }
            self.run(Duration::from_millis(100));
        }
        self.oracle.committed_proposals.len() > before
    }

    pub fn perform(&mut self, op: Op) {
        match op {
            Op::Propose(replica, count) => {
                let inputs: Vec<_> = (0..count)
                    .map(|_| {
                        let id = self.next_sequence_number();
                        let mut command = id.to_le_bytes().to_vec();
                        command.resize(8 + id as usize % 90, 0);
                        let id = ProposalId(id);
                        Input::Propose { id, command }
                    })
                    .collect();
                self.step(replica, inputs);
            }
            Op::Kill(replica) => self.kill(replica),
            Op::Bounce(replica) => {
                self.kill(replica);
                self.start(replica);
            }
            Op::KillWithin(replica, outputs) => {
                self.replicas[replica].remaining_outputs = Some(outputs)
            }
            Op::Restart(replica) if self.node(replica).is_none() => self.start(replica),
            Op::Restart(_) => {}
            Op::LoseDisk(replica) if self.can_lose_disk(replica) => self.lose_disk(replica),
            Op::LoseDisk(_) => {}
            Op::Cut(from, to) => drop(self.cut_links.insert((from, to))),
            Op::Isolate(replica) => {
                let pairs = (0..self.replicas.len()).flat_map(|o| [(o, replica), (replica, o)]);
                self.cut_links.extend(pairs);
            }
            Op::Partition(mask) => {
                let side = |replica: usize| mask.checked_shr(replica as u32).unwrap_or(0) & 1;
                let all = 0..self.replica_count;
                let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
                self.cut_links
                    .extend(pairs.filter(|(a, b)| side(*a) != side(*b)));
            }
            Op::BlockInbound(replica) => self
                .cut_links
                .extend((0..self.replica_count).map(|o| (o, replica))),
            Op::Heal => self.cut_links.clear(),
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
                let to = Some(ReplicaId(to as u32));
                if let Some(leader) = self.leader() {
                    self.step(leader, vec![Input::TransferLeadership { to }]);
                }
            }
            Op::Change(replica) => {
                if let Some(leader) = self.leader() {
                    self.change_membership(leader, replica);
                }
            }
            Op::BounceLeader => {
                if let Some(leader) = self.leader() {
                    self.perform(Op::Bounce(leader));
                }
            }
            Op::ChangeTwice(first, second) => {
                for leader in 0..self.replica_count {
                    self.change_membership(leader, first);
                    self.change_membership(leader, second);
                }
            }
            Op::Replay(count) => {
                for _ in 0..count {
                    let delay = Duration::from_millis(self.rng.random_range(0..300));
                    if let Some(message) = self.recorded_messages.choose(&mut self.rng).cloned() {
                        self.schedule(delay, Event::Deliver(message));
                    }
                }
            }
            Op::Loss(percent) => self.loss_probability = f64::from(percent) / 100.0,
        }
    }

    pub fn lose_disk(&mut self, replica: usize) {
        self.kill(replica);
        let is_formed = |r: &Replica| !r.disk.membership().voters.is_empty();
        self.disks_lost_while_forming += usize::from(!self.replicas.iter().all(is_formed));
        let member = self.new_member(replica);
        let replica = &mut self.replicas[replica];
        let lost = std::mem::take(&mut replica.disk);
        self.lost_disks.insert(replica.member, lost);
        replica.member = member;
    }

    /// Returns whether the cluster must survive the loss of this disk as well. It must if less than
    /// half of the voters are lost in every membership that may be in effect.
    fn can_lose_disk(&self, replica: usize) -> bool {
        let member = self.replicas[replica].member;
        let on_disk = self.replicas.iter().map(|r| r.disk.membership());
        let running = self.replicas.iter().filter_map(|r| r.node.as_ref());
        let in_memory = running.map(|n| n.membership().clone());
        on_disk
            .chain(in_memory)
            .all(|m| self.keeps_majority(&m, member))
    }

    fn keeps_majority(&self, membership: &Membership, also_lost: Member) -> bool {
        let is_lost = |v: &&Member| **v == also_lost || self.lost_disks.contains_key(*v);
        let voters = &membership.voters;
        voters.is_empty() || voters.iter().filter(is_lost).count() * 2 < voters.len()
    }

    fn change_membership(&mut self, leader: usize, replica: usize) {
        let member = self.replicas[replica].member;
        let Some(node) = self.node(leader) else {
            return;
        };
        let mut membership = node.membership().clone();
        if !membership.is_voter(member) {
            membership.learners.push(member);
        } else if membership.voters.len() > 3 {
            membership.voters.retain(|v| *v != member);
        }
        // An operator must not remove a voter whose disk the remaining majority depends on.
        if !self.keeps_majority(&membership, member) {
            return;
        }
        let id = ProposalId(self.next_sequence_number());
        self.step(leader, vec![Input::ChangeMembership { id, membership }]);
    }

    pub fn start(&mut self, number: usize) {
        let seed = self.rng.random();
        let replica = &mut self.replicas[number];
        replica.start_count += 1;
        // The clock of a process has an arbitrary origin.
        let offset = self.rng.random_range(0..5000);
        replica.clock_origin = self.now - Duration::from_millis(offset);
        let recovered = replica.disk.synced.clone();
        if let Some(snapshot) = &recovered.snapshot {
            self.oracle.check_snapshot(snapshot);
        }
        let settings = settings(replica.member, &self.start_settings, self.short_timeouts);
        let local_now = local_time(replica, self.now);
        let node = Node::new(settings, recovered, seed, local_now);
        replica.node = Some(node.expect("the disk should not be damaged"));
    }

    pub fn kill(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        replica.node = None;
        replica.remaining_outputs = None;
        let surviving_writes = self.rng.random_range(0..=replica.disk.pending.len());
        replica.disk.crash(surviving_writes, self.rng.random());
    }
}

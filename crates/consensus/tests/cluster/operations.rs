use crate::{schedule::*, simulation::*};
use mangospindle_consensus::*;
use rand::{Rng, seq::IndexedRandom};
use std::time::Duration;

impl Simulation {
    /// Runs a whole schedule, then checks that the cluster recovers if it can.
    pub fn play(schedule: &Schedule, count: usize) -> Self {
        let mut simulation = Self::new(count, schedule.seed, schedule.hasty);
        if schedule.stopped {
            (0..count).for_each(|replica| simulation.kill(replica));
        }
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
            Op::Bounce(replica) => {
                self.kill(replica);
                self.start(replica);
            }
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
            Op::Split(mask) => {
                let side = |replica: usize| mask.checked_shr(replica as u32).unwrap_or(0) & 1;
                let all = 0..self.count;
                let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
                self.cuts
                    .extend(pairs.filter(|(a, b)| side(*a) != side(*b)));
            }
            Op::Deafen(replica) => self.cuts.extend((0..self.count).map(|o| (o, replica))),
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
                let to = Some(ReplicaId(to as u32));
                if let Some(leader) = self.leader() {
                    self.step(leader, vec![Input::TransferLeadership { to }]);
                }
            }
            Op::Change(replica) => {
                if let Some(leader) = self.leader() {
                    self.change(leader, replica);
                }
            }
            Op::BounceLeader => {
                if let Some(leader) = self.leader() {
                    self.perform(Op::Bounce(leader));
                }
            }
            Op::ChangeTwice(first, second) => {
                for leader in 0..self.count {
                    self.change(leader, first);
                    self.change(leader, second);
                }
            }
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

    fn change(&mut self, leader: usize, replica: usize) {
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
        // The operator does not remove one of the last voters that still have their disks.
        if !self.survives(&membership, member) {
            return;
        }
        let id = ProposalId(self.next_number());
        self.step(leader, vec![Input::ChangeMembership { id, membership }]);
    }

    pub fn start(&mut self, number: usize) {
        let seed = self.random.random();
        let replica = &mut self.replicas[number];
        replica.starts += 1;
        // The clock of a process starts anywhere.
        let offset = self.random.random_range(0..5000);
        replica.origin = self.now - Duration::from_millis(offset);
        let recovered = replica.disk.synced.clone();
        if let Some(snapshot) = &recovered.snapshot {
            self.oracle.check_snapshot(snapshot);
        }
        let settings = settings(replica.member, &self.group, self.hasty);
        let local = local_time(replica, self.now);
        let node = Node::new(settings, recovered, seed, local);
        replica.node = Some(node.expect("a disk without damage"));
    }

    pub fn kill(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        replica.node = None;
        replica.outputs_left = None;
        let survivors = self.random.random_range(0..=replica.disk.pending.len());
        replica.disk.crash(survivors, self.random.random());
    }
}

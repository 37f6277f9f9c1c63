//! A deployment with an open membership, and the ways in which its replicas come and go.

use crate::{
    schedule::Op,
    simulation::{Simulation, StartSettings},
};
use mangospindle_consensus::Input;
use rand::seq::SliceRandom;
use std::time::Duration;

const SEED_REPLICAS: usize = 3;
/// Time within which a restarted or new replica must become a voter, as guaranteed to deployments.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time after the end of all faults within which changes must be accepted again, as guaranteed to
/// deployments.
pub const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Longest time for which the driver of a node that stops waits for it to leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which that driver says again that the node leaves.
const LEAVE_INTERVAL: Duration = Duration::from_millis(100);

pub struct Deployment {
    pub simulation: Simulation,
    pub size: usize,
    /// Number of replicas that the deployment promises to lose at once without an effect.
    pub tolerated: usize,
    pub running: Vec<usize>,
}

impl Deployment {
    /// Starts a deployment whose settings say how many losses it tolerates.
    pub fn start(size: usize, seed: u64) -> Self {
        Self::start_with(size, seed, Some(tolerated_losses(size)))
    }

    pub fn start_with(size: usize, seed: u64, stated_tolerance: Option<usize>) -> Self {
        let start_settings = StartSettings {
            seed_replicas: (0..SEED_REPLICAS).collect(),
            open_membership: true,
            tolerated_losses: stated_tolerance,
            may_form: true,
        };
        let mut simulation = Simulation::with_start_settings(size, start_settings, seed, false);
        simulation.run(Duration::from_secs(6));
        simulation.start_settings.may_form = false;
        Self {
            simulation,
            size,
            tolerated: tolerated_losses(size),
            running: (0..size).collect(),
        }
    }

    /// Kills a replica permanently and starts its successor, which is given running replicas as
    /// seeds.
    pub fn replace(&mut self, replica: usize, pause: Duration) {
        self.compact_all();
        self.remove(replica);
        self.simulation.run(pause);
        self.add();
        self.simulation.run(CATCH_UP_TIME);
    }

    pub fn compact_all(&mut self) {
        for replica in self.running.clone() {
            self.simulation.perform(Op::Compact(replica));
        }
    }

    /// Kills a replica permanently.
    pub fn remove(&mut self, replica: usize) {
        self.simulation.kill(replica);
        self.running.retain(|r| *r != replica);
    }

    /// Starts a new replica with an empty disk and returns its number.
    pub fn add(&mut self) -> usize {
        let added = self.simulation.replicas.len();
        self.update_seeds();
        self.running.push(added);
        self.simulation.add_replica();
        added
    }

    /// Names replicas that run as the seeds of those that start from now on.
    fn update_seeds(&mut self) {
        let (up, down): (Vec<_>, Vec<_>) = self
            .running
            .iter()
            .partition(|r| self.simulation.node(**r).is_some());
        let seeds = up.into_iter().chain(down).take(SEED_REPLICAS);
        self.simulation.start_settings.seed_replicas = seeds.collect();
    }

    /// Stops the process of a replica as planned, which first hands over leadership and leaves.
    /// Returns whether the leader has agreed that it leaves, and it is no voter any more.
    pub fn stop(&mut self, replica: usize) -> bool {
        if self.simulation.leader() == Some(replica) {
            let transfer = Input::TransferLeadership { to: None };
            self.simulation.step(replica, vec![transfer]);
            self.simulation.run(Duration::from_millis(500));
        }
        let end = self.simulation.now + LEAVE_TIMEOUT;
        while self.simulation.now < end && !self.has_left(replica) {
            self.simulation.step(replica, vec![Input::Leave]);
            self.simulation.run(LEAVE_INTERVAL);
        }
        let left = self.has_left(replica) && !self.is_voter(replica);
        self.simulation.kill(replica);
        left
    }

    fn has_left(&self, replica: usize) -> bool {
        let node = self.simulation.node(replica);
        node.is_none_or(|n| n.has_left())
    }

    /// Kills and restarts the leader, if there is one.
    pub fn restart_leader(&mut self, pause: Duration) {
        if let Some(leader) = self.simulation.leader() {
            self.simulation.kill(leader);
            self.simulation.run(pause);
            self.simulation.perform(Op::Restart(leader));
        }
    }

    /// Kills all running replicas at the same moment and restarts them.
    pub fn restart_all(&mut self, pause: Duration) {
        for replica in self.running.clone() {
            self.simulation.kill(replica);
        }
        self.simulation.run(pause);
        self.restart_stopped();
    }

    /// Restarts the replicas that belong to the deployment and do not run.
    pub fn restart_stopped(&mut self) {
        self.update_seeds();
        for replica in self.running.clone() {
            self.simulation.perform(Op::Restart(replica));
        }
    }

    pub fn restart(&mut self, replica: usize) {
        self.update_seeds();
        self.simulation.perform(Op::Restart(replica));
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.simulation.perform(Op::Heal);
        self.simulation.perform(Op::Loss(0));
        for replica in self.running.clone() {
            self.simulation.replicas[replica].frozen_until = Duration::ZERO;
        }
        self.restart_stopped();
    }

    pub fn voters(&self) -> Vec<usize> {
        let leader = self
            .simulation
            .leader()
            .expect("the cluster should have a leader");
        let node = self
            .simulation
            .node(leader)
            .expect("the leader should be running");
        let voters = node.membership().voters.iter();
        voters.map(|v| v.replica.0 as usize).collect()
    }

    /// Returns whether a replica with its current disk is a voter of the leader's membership.
    pub fn is_voter(&self, replica: usize) -> bool {
        let leader = self
            .simulation
            .leader()
            .and_then(|l| self.simulation.node(l));
        let member = self.simulation.replicas[replica].member;
        leader.is_some_and(|n| n.membership().is_voter(member))
    }

    /// Checks that commands are accepted, that every running replica is a voter, and that the
    /// number of voters exceeds the size of the deployment by at most `max_stale_voters`.
    pub fn check(&mut self, context: &str, max_stale_voters: usize) {
        assert!(
            self.simulation.accepts_commands(),
            "{context}: no command is accepted"
        );
        let voters = self.voters();
        let missing = self.running.iter().find(|r| !self.is_voter(**r));
        assert_eq!(
            missing, None,
            "{context}: a running replica is not a voter: {voters:?}"
        );
        let max_voters = self.size + max_stale_voters;
        assert!(
            voters.len() <= max_voters,
            "{context}: too many voters: {voters:?}"
        );
    }

    /// Checks that the deployment recovers after it has lost as many disks at once as it tolerates,
    /// one of them that of the leader.
    pub fn check_bears_losses(&mut self, context: &str) {
        let leader = self.simulation.leader();
        let mut others: Vec<_> = self.running.clone();
        others.retain(|r| Some(*r) != leader);
        others.shuffle(&mut self.simulation.rng);
        let lost: Vec<_> = leader.into_iter().chain(others).collect();
        let lost = &lost[..self.tolerated];
        for replica in lost {
            self.simulation.lose_disk(*replica);
        }
        self.simulation.run(Duration::from_secs(1));
        self.restart_stopped();
        self.simulation.run(RECOVERY_TIME);
        let context = format!("{context}: after the loss of the disks of {lost:?}");
        self.check(&context, self.size.is_multiple_of(2).into());
    }
}

/// Returns how many replicas a deployment promises to lose at once without an effect.
pub fn tolerated_losses(size: usize) -> usize {
    (size - 1) / 2
}

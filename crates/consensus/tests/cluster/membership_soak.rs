//! Random replacements, restarts, pauses, partitions and losses of disks that overlap.

use crate::{
    deployment::{CATCH_UP_TIME, Deployment, RECOVERY_TIME},
    env_number,
    schedule::Op,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::time::Duration;

const RUNS: u64 = 40;
/// Seeds of earlier failures: a silent voter that was removed before the newcomer was promoted, and a
/// removed replica that did not find the leader.
const FAILED_SEEDS: [u64; 2] = [500_849, 21];
const ROUNDS: usize = 3;
const MAX_FAULTS_IN_ROUND: usize = 8;
const MAX_GAP_MS: u64 = 1500;
const MAX_PAUSE_MS: u64 = 5000;

/// The end of a fault that began earlier.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Restart(usize),
    Heal,
    StartSuccessor,
    /// The predecessor stops, or is killed, if its successor is a voter.
    Leave {
        predecessor: usize,
        successor: usize,
        planned: bool,
    },
}

struct Round<'a> {
    deployment: &'a mut Deployment,
    rng: &'a mut StdRng,
    /// Number of disks that may still be lost. More than the deployment tolerates are not lost
    /// until it has recovered.
    disks_left: usize,
    endings: Vec<(Duration, Ending)>,
    history: Vec<String>,
}

impl Round<'_> {
    fn play(&mut self) {
        for _ in 0..self.rng.random_range(1..=MAX_FAULTS_IN_ROUND) {
            self.begin_fault();
            let gap = Duration::from_millis(self.rng.random_range(0..MAX_GAP_MS));
            self.run(gap);
        }
        while let Some(last) = self.endings.iter().map(|(at, _)| *at).max() {
            let remaining = last.saturating_sub(self.deployment.simulation.now);
            self.run(remaining);
        }
        self.deployment.heal();
        self.deployment.simulation.run(RECOVERY_TIME);
    }

    /// Lets time pass, and ends the faults whose time has come.
    fn run(&mut self, duration: Duration) {
        let end = self.deployment.simulation.now + duration;
        loop {
            self.endings.sort_by_key(|(at, _)| *at);
            let due = self.endings.first().copied().filter(|(at, _)| *at <= end);
            let until = due.map_or(end, |(at, _)| at);
            let remaining = until.saturating_sub(self.deployment.simulation.now);
            self.deployment.simulation.run(remaining);
            let Some((_, ending)) = due else {
                return;
            };
            self.endings.remove(0);
            self.end_fault(ending);
        }
    }

    fn end_after(&mut self, pause: Duration, ending: Ending) {
        let at = self.deployment.simulation.now + pause;
        self.endings.push((at, ending));
    }

    fn begin_fault(&mut self) {
        let running = self.deployment.running.clone();
        let replica = *running.choose(self.rng).expect("a replica should run");
        let pause = Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS));
        let kind = self.rng.random_range(0..13);
        self.note(format!("fault {kind} at {replica} for {pause:?}"));
        match kind {
            0 => {
                let freeze = Op::Freeze(replica, pause.as_millis() as u16);
                self.deployment.simulation.perform(freeze);
            }
            1 => {
                self.deployment.simulation.perform(Op::Isolate(replica));
                self.end_after(pause, Ending::Heal);
            }
            2 => self.partition(&running, pause),
            3 => {
                self.deployment.simulation.kill(replica);
                self.end_after(pause, Ending::Restart(replica));
            }
            4 => {
                if let Some(leader) = self.deployment.simulation.leader() {
                    self.deployment.simulation.kill(leader);
                    self.end_after(pause / 2, Ending::Restart(leader));
                }
            }
            5 => self.deployment.restart_all(pause / 8),
            6 => self.deployment.simulation.perform(Op::Transfer(replica)),
            7 => {
                self.deployment.simulation.perform(Op::Propose(replica, 5));
                self.deployment.compact_all();
            }
            8 => {
                self.deployment.stop(replica);
                self.end_after(pause / 4, Ending::Restart(replica));
            }
            9 if self.take_disk() => {
                self.deployment.simulation.lose_disk(replica);
                self.end_after(pause / 2, Ending::Restart(replica));
            }
            10 if self.take_disk() => {
                self.deployment.remove(replica);
                self.end_after(pause, Ending::StartSuccessor);
            }
            11 | 12 => {
                let leave = Ending::Leave {
                    predecessor: replica,
                    successor: self.deployment.add(),
                    planned: kind == 11,
                };
                self.end_after(CATCH_UP_TIME + pause / 2, leave);
            }
            _ => {}
        }
    }

    fn partition(&mut self, running: &[usize], pause: Duration) {
        let side: Vec<_> = running
            .iter()
            .copied()
            .filter(|_| self.rng.random())
            .collect();
        let all = 0..self.deployment.simulation.replicas.len();
        for (a, b) in side.iter().flat_map(|a| all.clone().map(move |b| (*a, b))) {
            if !side.contains(&b) {
                self.deployment.simulation.perform(Op::Cut(a, b));
                self.deployment.simulation.perform(Op::Cut(b, a));
            }
        }
        self.end_after(pause, Ending::Heal);
    }

    fn end_fault(&mut self, ending: Ending) {
        self.note(format!("{ending:?}"));
        match ending {
            Ending::Restart(replica) if self.deployment.running.contains(&replica) => {
                self.deployment.restart(replica);
            }
            Ending::Restart(_) => {}
            Ending::Heal => self.deployment.simulation.perform(Op::Heal),
            Ending::StartSuccessor => drop(self.deployment.add()),
            Ending::Leave {
                predecessor,
                successor,
                planned,
            } => self.leave(predecessor, successor, planned),
        }
    }

    /// Ends the predecessor if its successor has taken its place. If its voter may stay for some
    /// time, its disk counts as lost. A predecessor that cannot be spared stays.
    fn leave(&mut self, predecessor: usize, successor: usize, planned: bool) {
        let runs = self.deployment.simulation.node(predecessor).is_some();
        if !runs || !self.deployment.running.contains(&predecessor) {
            self.deployment.size += 1;
            return;
        }
        let succeeded = self.deployment.is_voter(successor);
        let left = planned && succeeded && self.deployment.stop(predecessor);
        match left || self.take_disk() {
            true => self.deployment.remove(predecessor),
            false => {
                self.deployment.restart(predecessor);
                self.deployment.size += 1;
            }
        }
    }

    fn take_disk(&mut self) -> bool {
        let available = self.disks_left > 0;
        self.disks_left = self.disks_left.saturating_sub(1);
        available
    }

    fn note(&mut self, text: String) {
        let at = self.deployment.simulation.now;
        let leader = self.deployment.simulation.leader();
        self.history
            .push(format!("{at:?} (leader {leader:?}): {text}"));
    }
}

/// Guards against deployments that have no leader for good, forget what was accepted, or keep voters
/// that are gone, after faults that overlap. At most as many disks are lost as the deployment
/// tolerates until it has recovered. `MANGOSPINDLE_MEMBERSHIP_RUNS` and
/// `MANGOSPINDLE_MEMBERSHIP_SEED` set the number of runs and the seed of the first one.
#[test]
fn overlapping_faults_leave_the_running_replicas_as_voters() {
    let first = env_number("MANGOSPINDLE_MEMBERSHIP_SEED", 0);
    let runs = env_number("MANGOSPINDLE_MEMBERSHIP_RUNS", RUNS);
    for seed in FAILED_SEEDS.into_iter().chain(first..first + runs) {
        let mut rng = StdRng::seed_from_u64(seed);
        let size = rng.random_range(3..=7);
        let mut deployment = Deployment::start(size, seed);
        for number in 0..ROUNDS {
            let mut round = Round {
                disks_left: deployment.tolerated,
                deployment: &mut deployment,
                rng: &mut rng,
                endings: Vec::new(),
                history: Vec::new(),
            };
            round.play();
            let history = round.history.join("\n");
            let context = format!("seed {seed}, size {size}, round {number}\n{history}\n");
            deployment.check(&context, 0);
        }
        deployment.check_bears_losses(&format!("seed {seed}, size {size}"));
    }
}

//! Open memberships: replicas come and go at new numbers, and each starts with only three others.

use crate::{
    schedule::Op,
    simulation::{Group, REPLACE_AFTER, Simulation},
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::time::Duration;

const SEEDS: usize = 3;
/// Seeds of the drawn runs.
const RUNS: u64 = 24;
/// Time for a restarted or new replica to become a voter, as a deployment is promised it.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Voters that a change of leader may have left behind in a drawn run.
const LEFT_BEHIND: usize = 1;

struct Deployment {
    simulation: Simulation,
    size: usize,
    running: Vec<usize>,
}

impl Deployment {
    fn start(size: usize, seed: u64) -> Self {
        let group = Group {
            seeds: (0..SEEDS).collect(),
            open_membership: true,
            may_form: true,
        };
        let mut simulation = Simulation::with_group(size, group, seed, false);
        simulation.run(Duration::from_secs(6));
        simulation.group.may_form = false;
        Self {
            simulation,
            size,
            running: (0..size).collect(),
        }
    }

    /// Ends a replica for good and starts its successor, which is told of replicas that run.
    fn replace(&mut self, replica: usize, pause: Duration) {
        for replica in self.running.clone() {
            self.simulation.perform(Op::Compact(replica));
        }
        self.simulation.kill(replica);
        self.running.retain(|r| *r != replica);
        self.simulation.run(pause);
        self.simulation.group.seeds = self.running.iter().copied().take(SEEDS).collect();
        self.running.push(self.simulation.replicas.len());
        self.simulation.add_replica();
        self.simulation.run(CATCH_UP);
    }

    fn voters(&self) -> Vec<usize> {
        let leader = self.simulation.leader().expect("a leader");
        let node = self.simulation.node(leader).expect("running");
        let voters = node.membership().voters.iter();
        voters.map(|v| v.replica.0 as usize).collect()
    }

    /// Every running replica is a voter, at most `left_behind` others are, and commands are accepted.
    fn check(&mut self, what: &str, left_behind: usize) {
        assert!(self.simulation.accepts(), "{what}: nothing is accepted");
        let voters = self.voters();
        let missing = self.running.iter().find(|r| !voters.contains(r));
        assert_eq!(missing, None, "{what}: voters {voters:?}");
        let most = self.size + left_behind;
        assert!(voters.len() <= most, "{what}: voters {voters:?}");
    }
}

struct Case {
    name: &'static str,
    size: usize,
    /// Time between the end of a replica and the start of its successor.
    pause: Duration,
}

const CASES: &[Case] = &[
    Case {
        name: "the successor starts at once",
        size: 6,
        pause: Duration::ZERO,
    },
    Case {
        name: "the successor starts after the end was noticed",
        size: 6,
        pause: Duration::from_millis(1500),
    },
    Case {
        name: "the successor starts late",
        size: 6,
        pause: Duration::from_secs(8),
    },
    Case {
        name: "a majority of three needs both that are left",
        size: 3,
        pause: Duration::ZERO,
    },
    Case {
        name: "a majority of three needs both that are left, for long",
        size: 3,
        pause: Duration::from_secs(8),
    },
];

/// Guards against voters that are gone for good adding up, until a majority is out of reach. Once a
/// successor has caught up, another replica may be lost.
#[test]
fn replicas_are_replaced_one_after_the_other_without_end() {
    for case in CASES {
        let mut deployment = Deployment::start(case.size, 11);
        deployment.check("the start", 0);
        for _ in 0..12 {
            let oldest = deployment.running[0];
            deployment.replace(oldest, case.pause);
            let lost = deployment.running[1];
            deployment.simulation.kill(lost);
            assert!(deployment.simulation.accepts(), "{}", case.name);
            deployment.simulation.perform(Op::Restart(lost));
            deployment.simulation.run(CATCH_UP);
            deployment.check(case.name, 0);
        }
    }
}

/// Guards against a replica that stays outside after it was taken for gone while it was cut off.
#[test]
fn a_replica_that_was_taken_for_gone_becomes_a_voter_again() {
    let mut deployment = Deployment::start(6, 5);
    let leader = deployment.simulation.leader().expect("a leader");
    let cut_off = (leader + 1) % 6;
    let ended = (leader + 2) % 6;
    deployment.simulation.perform(Op::Isolate(cut_off));
    deployment.simulation.run(REPLACE_AFTER * 2);
    deployment.replace(ended, Duration::ZERO);
    assert!(
        !deployment.voters().contains(&cut_off),
        "the replica was not taken for gone"
    );
    deployment.simulation.perform(Op::Heal);
    deployment.simulation.run(CATCH_UP);
    deployment.check("after the cut", 0);
}

/// Guards against a second cluster, lost commands and a cluster that stops, while replicas are
/// killed, frozen, cut off, split in halves, robbed of a disk and replaced.
#[test]
fn drawn_disturbances_of_an_open_membership_are_survived() {
    for seed in 0..RUNS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut deployment = Deployment::start(random.random_range(3..=7), seed);
        for _ in 0..15 {
            disturb(&mut deployment, &mut random);
        }
        let running = deployment.running.clone();
        let simulation = &mut deployment.simulation;
        simulation.perform(Op::Heal);
        simulation.perform(Op::Loss(0));
        for replica in running {
            simulation.replicas[replica].frozen_until = Duration::ZERO;
            simulation.perform(Op::Restart(replica));
        }
        // A voter that was taken for gone, and a learner that waits for it.
        simulation.run(REPLACE_AFTER + CATCH_UP * 2);
        deployment.check(&format!("seed {seed}"), LEFT_BEHIND);
    }
}

/// One disturbance that a deployment is promised to survive, and its end.
fn disturb(deployment: &mut Deployment, random: &mut StdRng) {
    let replica = *deployment.running.choose(random).expect("running");
    let pause = Duration::from_millis(random.random_range(0..6000));
    let simulation = &mut deployment.simulation;
    simulation.perform(Op::Propose(replica, 3));
    match random.random_range(0..8) {
        0 => deployment.replace(replica, pause),
        1 => {
            simulation.perform(Op::Isolate(replica));
            simulation.run(pause);
            simulation.perform(Op::Heal);
        }
        2 => {
            simulation.perform(Op::Freeze(replica, pause.as_millis() as u16));
            simulation.run(pause);
        }
        3 => {
            simulation.kill(replica);
            simulation.run(pause);
            simulation.perform(Op::Restart(replica));
        }
        4 => {
            simulation.lose_disk(replica);
            simulation.run(pause);
            simulation.perform(Op::Restart(replica));
        }
        5 => {
            let halves = random.random();
            simulation.count = simulation.replicas.len();
            simulation.perform(Op::Split(halves));
            simulation.run(pause);
            simulation.perform(Op::Heal);
        }
        6 => {
            for replica in deployment.running.clone() {
                simulation.perform(Op::Bounce(replica));
            }
        }
        _ => simulation.perform(Op::Replay(40)),
    }
    deployment.simulation.run(CATCH_UP);
}

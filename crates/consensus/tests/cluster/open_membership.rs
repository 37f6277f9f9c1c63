//! Open memberships: replicas are replaced by ones with new numbers, and each knows only three
//! others when it starts.

use crate::{
    deployment::{CATCH_UP_TIME, Deployment},
    schedule::Op,
    simulation::REPLACEMENT_TIMEOUT,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use std::time::Duration;

/// Number of random runs. Each run uses its number as the seed.
const RANDOM_RUNS: u64 = 24;

struct Case {
    name: &'static str,
    size: usize,
    /// Time between killing a replica and starting its successor.
    pause: Duration,
}

const CASES: &[Case] = &[
    Case {
        name: "the successor starts at once",
        size: 6,
        pause: Duration::ZERO,
    },
    Case {
        name: "the successor starts after the replica was found unresponsive",
        size: 6,
        pause: Duration::from_millis(1500),
    },
    Case {
        name: "the successor starts late",
        size: 6,
        pause: Duration::from_secs(8),
    },
    Case {
        name: "a majority of three needs both remaining replicas",
        size: 3,
        pause: Duration::ZERO,
    },
    Case {
        name: "a majority of three needs both remaining replicas for a long time",
        size: 3,
        pause: Duration::from_secs(8),
    },
];

/// Guards against voters that are gone permanently accumulating until no majority can be reached.
/// Once a successor has caught up, the cluster must survive the loss of another replica.
#[test]
fn replicas_can_be_replaced_repeatedly() {
    for case in CASES {
        let mut deployment = Deployment::start(case.size, 11);
        deployment.check("initial state", 0);
        for _ in 0..12 {
            let oldest = deployment.running[0];
            deployment.replace(oldest, case.pause);
            let lost = deployment.running[1];
            deployment.simulation.kill(lost);
            assert!(deployment.simulation.accepts_commands(), "{}", case.name);
            deployment.simulation.perform(Op::Restart(lost));
            deployment.simulation.run(CATCH_UP_TIME);
            deployment.check(case.name, 0);
        }
    }
}

/// Guards against a replica that does not rejoin after it was removed while it was partitioned.
#[test]
fn replica_removed_during_a_partition_becomes_a_voter_again() {
    let mut deployment = Deployment::start(6, 5);
    let leader = deployment
        .simulation
        .leader()
        .expect("the cluster should have a leader");
    let partitioned = (leader + 1) % 6;
    let replaced = (leader + 2) % 6;
    deployment.simulation.perform(Op::Isolate(partitioned));
    deployment.simulation.run(REPLACEMENT_TIMEOUT * 2);
    deployment.replace(replaced, Duration::ZERO);
    assert!(
        !deployment.voters().contains(&partitioned),
        "the partitioned replica was not removed"
    );
    deployment.simulation.perform(Op::Heal);
    deployment.simulation.run(CATCH_UP_TIME);
    deployment.check("after the partition", 0);
}

/// Guards against a removed replica that asks only replicas that do not lead, because the leader has
/// joined since.
#[test]
fn removed_replica_finds_a_leader_that_it_does_not_know() {
    for seed in 0..10 {
        let mut deployment = Deployment::start(6, seed);
        let leader = deployment.simulation.leader();
        let partitioned = (0..6).find(|r| Some(*r) != leader).unwrap_or(0);
        deployment.simulation.perform(Op::Isolate(partitioned));
        deployment.simulation.run(REPLACEMENT_TIMEOUT * 2);
        let added = deployment.add();
        deployment.size += 1;
        deployment.simulation.run(CATCH_UP_TIME);
        deployment.simulation.perform(Op::Transfer(added));
        deployment.simulation.run(Duration::from_secs(2));
        assert_eq!(deployment.simulation.leader(), Some(added), "seed {seed}");
        assert!(!deployment.is_voter(partitioned), "seed {seed}");
        deployment.simulation.perform(Op::Heal);
        deployment.simulation.run(CATCH_UP_TIME);
        deployment.check(&format!("seed {seed}"), 0);
    }
}

/// Guards against a second cluster, lost commands and loss of availability while replicas are
/// killed, paused, partitioned and replaced, or lose their disks.
#[test]
fn open_membership_survives_random_faults() {
    for seed in 0..RANDOM_RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut deployment = Deployment::start(rng.random_range(3..=7), seed);
        for _ in 0..15 {
            inject_fault(&mut deployment, &mut rng);
        }
        let running = deployment.running.clone();
        let simulation = &mut deployment.simulation;
        simulation.perform(Op::Heal);
        simulation.perform(Op::Loss(0));
        for replica in running {
            simulation.replicas[replica].frozen_until = Duration::ZERO;
            simulation.perform(Op::Restart(replica));
        }
        // Enough time to replace an unresponsive voter and to promote a learner that waits for
        // that.
        simulation.run(REPLACEMENT_TIMEOUT + CATCH_UP_TIME * 2);
        deployment.check(&format!("seed {seed}"), 0);
    }
}

/// Applies a random fault that a deployment is guaranteed to survive, and ends it.
fn inject_fault(deployment: &mut Deployment, rng: &mut StdRng) {
    let replica = *deployment
        .running
        .choose(rng)
        .expect("a replica should be running");
    let pause = Duration::from_millis(rng.random_range(0..6000));
    let simulation = &mut deployment.simulation;
    simulation.perform(Op::Propose(replica, 3));
    match rng.random_range(0..8) {
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
            let halves = rng.random();
            simulation.replica_count = simulation.replicas.len();
            simulation.perform(Op::Partition(halves));
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
    deployment.simulation.run(CATCH_UP_TIME);
}

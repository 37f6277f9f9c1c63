use crate::{schedule::Op, simulation::Simulation};
use std::time::Duration;

/// Disks that are lost one round after the other, with time for repair in between.
struct Case {
    /// Which failure it guards against.
    name: &'static str,
    replicas: usize,
    rounds: &'static [&'static [usize]],
    /// Whether commands are accepted afterwards.
    accepts: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "two disks lost at once stop the cluster",
        replicas: 5,
        rounds: &[&[1, 3]],
        accepts: true,
    },
    Case {
        name: "two more after the repair of two stop the cluster",
        replicas: 5,
        rounds: &[&[0, 4], &[1, 2]],
        accepts: true,
    },
    Case {
        name: "every disk lost in turn loses the log",
        replicas: 5,
        rounds: &[&[0], &[1], &[2], &[3], &[4]],
        accepts: true,
    },
    Case {
        name: "the rest of a cluster that lost three of five accepts commands, or a new cluster forms",
        replicas: 5,
        rounds: &[&[0, 1, 2]],
        accepts: false,
    },
    Case {
        name: "one of three stops the cluster",
        replicas: 3,
        rounds: &[&[0], &[2]],
        accepts: true,
    },
    Case {
        name: "the last of three forms a cluster with empty disks",
        replicas: 3,
        rounds: &[&[0, 1]],
        accepts: false,
    },
];

#[test]
fn losses_are_survived_up_to_the_bound() {
    for case in CASES {
        let mut simulation = Simulation::new(case.replicas, 7, false);
        simulation.run(Duration::from_secs(4));
        assert!(simulation.accepts(), "{}", case.name);
        for round in case.rounds {
            for replica in *round {
                simulation.lose_disk(*replica);
            }
            for replica in *round {
                simulation.perform(Op::Restart(*replica));
            }
            simulation.run(Duration::from_secs(12));
        }
        let committed = simulation.oracle.committed.len();
        if case.accepts {
            simulation.check_recovered();
        } else {
            assert!(!simulation.accepts(), "{}", case.name);
            assert_eq!(
                simulation.oracle.committed.len(),
                committed,
                "{}",
                case.name
            );
        }
    }
}

use crate::{schedule::Op, simulation::Simulation};
use std::time::Duration;

/// Rounds of disk losses, with time for repair after each round.
struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    replicas: usize,
    rounds: &'static [&'static [usize]],
    /// Whether the cluster must accept commands afterwards.
    accepts_commands: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "losing two disks of five at once stops the cluster",
        replicas: 5,
        rounds: &[&[1, 3]],
        accepts_commands: true,
    },
    Case {
        name: "losing two more disks after the repair of two stops the cluster",
        replicas: 5,
        rounds: &[&[0, 4], &[1, 2]],
        accepts_commands: true,
    },
    Case {
        name: "losing every disk in turn loses the log",
        replicas: 5,
        rounds: &[&[0], &[1], &[2], &[3], &[4]],
        accepts_commands: true,
    },
    Case {
        name: "a cluster that lost three disks of five accepts commands or forms anew",
        replicas: 5,
        rounds: &[&[0, 1, 2]],
        accepts_commands: false,
    },
    Case {
        name: "losing one disk of three stops the cluster",
        replicas: 3,
        rounds: &[&[0], &[2]],
        accepts_commands: true,
    },
    Case {
        name: "the last replica of three forms a cluster with replicas that have empty disks",
        replicas: 3,
        rounds: &[&[0, 1]],
        accepts_commands: false,
    },
];

#[test]
fn cluster_survives_disk_losses_within_its_bound() {
    for case in CASES {
        let mut simulation = Simulation::new(case.replicas, 7, false);
        simulation.run(Duration::from_secs(4));
        assert!(simulation.accepts_commands(), "{}", case.name);
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
        if case.accepts_commands {
            simulation.check_recovered();
        } else {
            assert!(!simulation.accepts_commands(), "{}", case.name);
            assert_eq!(
                simulation.oracle.committed.len(),
                committed,
                "{}",
                case.name
            );
        }
    }
}

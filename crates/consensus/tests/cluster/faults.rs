use crate::{
    schedule::Op,
    simulation::{Simulation, WINDOW_BYTES},
};
use mangospindle_consensus::Node;
use std::time::Duration;

const LEADER: usize = usize::MAX;
const FOLLOWER: usize = usize::MAX - 1;

/// Expected state after the operations, while the faults are still active.
enum Expected {
    /// The term has not changed.
    SameTerm,
    /// Another leader accepts commands.
    Replaced,
    /// The given replica leads.
    Leads(usize),
    /// At most `WINDOW_BYTES` of commands were sent to the given replica.
    BoundedTraffic(usize),
    /// No node has a membership.
    Unformed,
}

/// Operations on a cluster of five. `LEADER` stands for the leader and `FOLLOWER` for a follower.
struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    formed: bool,
    ops: &'static [(Op, u64)],
    expect: Expected,
}

const CASES: &[Case] = &[
    Case {
        name: "a partitioned replica deposes the leader when the partition heals",
        formed: true,
        ops: &[(Op::Isolate(FOLLOWER), 8000), (Op::Heal, 3000)],
        expect: Expected::SameTerm,
    },
    Case {
        name: "a replica that receives no messages repeatedly deposes the leader",
        formed: true,
        ops: &[(Op::BlockInbound(FOLLOWER), 8000)],
        expect: Expected::SameTerm,
    },
    Case {
        name: "a leader that receives no messages prevents a new election",
        formed: true,
        ops: &[(Op::BlockInbound(LEADER), 2500)],
        expect: Expected::Replaced,
    },
    Case {
        name: "a partitioned leader is not replaced",
        formed: true,
        ops: &[(Op::Isolate(LEADER), 2000)],
        expect: Expected::Replaced,
    },
    Case {
        name: "leadership is not transferred",
        formed: true,
        // The transfer takes three messages, each of which the simulated network delays by up to
        // 400 ms.
        ops: &[(Op::Transfer(FOLLOWER), 1500)],
        expect: Expected::Leads(FOLLOWER),
    },
    Case {
        name: "appends to a follower that does not reply use unbounded memory at the leader",
        formed: true,
        ops: &[
            (Op::BlockInbound(FOLLOWER), 0),
            (Op::Propose(LEADER, 200), 3000),
            (Op::Propose(LEADER, 200), 3000),
        ],
        expect: Expected::BoundedTraffic(FOLLOWER),
    },
    Case {
        name: "a cluster forms before all replicas are known",
        formed: false,
        ops: &[(Op::Kill(4), 10_000)],
        expect: Expected::Unformed,
    },
    Case {
        name: "a replica with an empty disk forms a cluster from replayed messages",
        formed: true,
        ops: &[
            (Op::LoseDisk(0), 0),
            (Op::Isolate(0), 0),
            (Op::Restart(0), 0),
            (Op::Replay(255), 5000),
        ],
        expect: Expected::SameTerm,
    },
];

#[test]
fn faults_have_bounded_effects() {
    for (case, seed) in CASES
        .iter()
        .flat_map(|c| (0..20).map(move |seed| (c, seed)))
    {
        let context = format!("{} (seed {seed})", case.name);
        let mut simulation = Simulation::new(5, seed, false);
        if case.formed {
            simulation.run(Duration::from_secs(4));
        }
        simulation.sent_bytes.fill(0);
        let leader = simulation.leader().unwrap_or(0);
        // The case that loses the disk of replica 0 is skipped if replica 0 is the leader.
        let follower = (leader + 2) % 5;
        let term = simulation.node(leader).map(Node::term);
        let resolve = |replica| match replica {
            LEADER => leader,
            FOLLOWER => follower,
            replica => replica,
        };
        let loses_leader_disk = |op: &Op| matches!(op, Op::LoseDisk(r) if *r == leader);
        if case.ops.iter().any(|(op, _)| loses_leader_disk(op)) {
            continue;
        }
        for (op, pause) in case.ops {
            let op = match *op {
                Op::Isolate(replica) => Op::Isolate(resolve(replica)),
                Op::BlockInbound(replica) => Op::BlockInbound(resolve(replica)),
                Op::Propose(replica, count) => Op::Propose(resolve(replica), count),
                Op::Transfer(replica) => Op::Transfer(resolve(replica)),
                op => op,
            };
            simulation.perform(op);
            simulation.run(Duration::from_millis(*pause));
        }
        match case.expect {
            Expected::SameTerm => {
                assert_eq!(simulation.node(leader).map(Node::term), term, "{context}");
                assert_eq!(simulation.leader(), Some(leader), "{context}");
            }
            Expected::Replaced => {
                assert_ne!(simulation.leader(), Some(leader), "{context}");
                assert!(simulation.accepts_commands(), "{context}");
            }
            Expected::Leads(replica) => {
                assert_eq!(simulation.leader(), Some(resolve(replica)), "{context}");
            }
            Expected::BoundedTraffic(replica) => {
                let bytes = simulation.sent_bytes[resolve(replica)];
                assert!(bytes <= WINDOW_BYTES, "{context}: {bytes}");
            }
            Expected::Unformed => {
                let mut nodes = (0..5).filter_map(|r| simulation.node(r));
                assert!(nodes.all(|n| !n.is_formed()), "{context}");
            }
        }
    }
}

use crate::{
    schedule::Op,
    simulation::{Simulation, WINDOW_BYTES},
};
use mangospindle_consensus::Node;
use std::time::Duration;

const LEADER: usize = usize::MAX;
const OTHER: usize = usize::MAX - 1;

/// What holds after the operations, while they are still in force.
enum Expect {
    /// The term has not changed.
    SameTerm,
    /// Another leader accepts commands.
    Replaced,
    /// The chosen replica leads.
    Leads(usize),
    /// No more than the window was sent to the chosen replica.
    Bounded(usize),
    /// Nobody is a member of anything.
    Unformed,
}

/// Operations on a cluster of five. `LEADER` stands for the leader, `OTHER` for a follower.
struct Case {
    /// Which failure it guards against.
    name: &'static str,
    formed: bool,
    ops: &'static [(Op, u64)],
    expect: Expect,
}

const CASES: &[Case] = &[
    Case {
        name: "a replica that was cut off deposes the leader when it returns",
        formed: true,
        ops: &[(Op::Isolate(OTHER), 8000), (Op::Heal, 3000)],
        expect: Expect::SameTerm,
    },
    Case {
        name: "a replica that hears nobody deposes the leader again and again",
        formed: true,
        ops: &[(Op::Deafen(OTHER), 8000)],
        expect: Expect::SameTerm,
    },
    Case {
        name: "a leader that hears nobody keeps the others from a new election",
        formed: true,
        ops: &[(Op::Deafen(LEADER), 2500)],
        expect: Expect::Replaced,
    },
    Case {
        name: "a leader that nobody hears is not replaced",
        formed: true,
        ops: &[(Op::Isolate(LEADER), 2000)],
        expect: Expect::Replaced,
    },
    Case {
        name: "leadership is not handed over",
        formed: true,
        // Three messages, each of which the test network delays by up to 400 ms.
        ops: &[(Op::Transfer(OTHER), 1500)],
        expect: Expect::Leads(OTHER),
    },
    Case {
        name: "appends to a follower that does not answer fill the leader's memory",
        formed: true,
        ops: &[
            (Op::Deafen(OTHER), 0),
            (Op::Propose(LEADER, 200), 3000),
            (Op::Propose(LEADER, 200), 3000),
        ],
        expect: Expect::Bounded(OTHER),
    },
    Case {
        name: "a cluster forms before all replicas were seen",
        formed: false,
        ops: &[(Op::Kill(4), 10_000)],
        expect: Expect::Unformed,
    },
    Case {
        name: "a replica with an empty disk forms a cluster from old messages",
        formed: true,
        ops: &[
            (Op::LoseDisk(0), 0),
            (Op::Isolate(0), 0),
            (Op::Restart(0), 0),
            (Op::Replay(255), 5000),
        ],
        expect: Expect::SameTerm,
    },
];

#[test]
fn disturbances_have_bounded_effects() {
    for (case, seed) in CASES
        .iter()
        .flat_map(|c| (0..20).map(move |seed| (c, seed)))
    {
        let what = format!("{} (seed {seed})", case.name);
        let mut simulation = Simulation::new(5, seed, false);
        if case.formed {
            simulation.run(Duration::from_secs(4));
        }
        simulation.sent_bytes.fill(0);
        let leader = simulation.leader().unwrap_or(0);
        // Replica 0 is lost in one case and must not be the leader there.
        let other = (leader + 2) % 5;
        let term = simulation.node(leader).map(Node::term);
        let choose = |replica| match replica {
            LEADER => leader,
            OTHER => other,
            replica => replica,
        };
        let lost = |op: &Op| matches!(op, Op::LoseDisk(r) if *r == leader);
        if case.ops.iter().any(|(op, _)| lost(op)) {
            continue;
        }
        for (op, pause) in case.ops {
            let op = match *op {
                Op::Isolate(replica) => Op::Isolate(choose(replica)),
                Op::Deafen(replica) => Op::Deafen(choose(replica)),
                Op::Propose(replica, count) => Op::Propose(choose(replica), count),
                Op::Transfer(replica) => Op::Transfer(choose(replica)),
                op => op,
            };
            simulation.perform(op);
            simulation.run(Duration::from_millis(*pause));
        }
        match case.expect {
            Expect::SameTerm => {
                assert_eq!(simulation.node(leader).map(Node::term), term, "{what}");
                assert_eq!(simulation.leader(), Some(leader), "{what}");
            }
            Expect::Replaced => {
                assert_ne!(simulation.leader(), Some(leader), "{what}");
                assert!(simulation.accepts(), "{what}");
            }
            Expect::Leads(replica) => {
                assert_eq!(simulation.leader(), Some(choose(replica)), "{what}");
            }
            Expect::Bounded(replica) => {
                let bytes = simulation.sent_bytes[choose(replica)];
                assert!(bytes <= WINDOW_BYTES, "{what}: {bytes}");
            }
            Expect::Unformed => {
                let mut nodes = (0..5).filter_map(|r| simulation.node(r));
                assert!(nodes.all(|n| !n.is_formed()), "{what}");
            }
        }
    }
}

use proptest::{collection::vec, prelude::*};
use serde::{Deserialize, Serialize};

/// A fault or a request. Replicas are numbered from 0.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Op {
    Propose(usize, u8),
    Kill(usize),
    /// Kills a replica and starts it again at once.
    Bounce(usize),
    /// Kills a replica after the given number of outputs.
    KillWithin(usize, u8),
    Restart(usize),
    LoseDisk(usize),
    /// Drops all messages from the first replica to the second.
    Cut(usize, usize),
    /// Drops all messages from and to a replica.
    Isolate(usize),
    /// Partitions the replicas whose bits are set from the others.
    #[serde(rename = "Split")]
    Partition(u8),
    /// Drops all messages to a replica.
    #[serde(rename = "Deafen")]
    BlockInbound(usize),
    /// Restores all links.
    Heal,
    /// Pauses a replica for the given number of milliseconds.
    Freeze(usize, u16),
    Compact(usize),
    Transfer(usize),
    /// Removes a replica that is a voter, or adds it as a learner.
    Change(usize),
    /// Delivers the given number of recorded messages again.
    Replay(u8),
    /// Sets the probability of losing a message, in percent.
    Loss(u8),
    /// Kills the leader and starts it again at once.
    BounceLeader,
    /// Proposes two membership changes at once on every replica. Only replicas that consider
    /// themselves the leader append them.
    ChangeTwice(usize, usize),
}

/// A sequence of operations on a cluster. A pause in milliseconds follows each of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    /// Whether the faults start before the cluster is formed.
    #[serde(rename = "early")]
    pub faults_before_formation: bool,
    /// Whether no replica runs at first, so that the cluster forms while faults happen.
    #[serde(default, rename = "stopped")]
    pub initially_stopped: bool,
    /// Whether election timeouts are so short and similar that candidates often split the vote.
    #[serde(default, rename = "hasty")]
    pub short_timeouts: bool,
    pub steps: Vec<(Op, u16)>,
}

/// Weights of the operations in the order of `Op`, and the longest medium pause in milliseconds.
type OpMix = ([u32; 19], u16);

/// The first mix covers most operations. The others focus on crashes, membership changes and
/// formation.
const MIXES: [OpMix; 4] = [
    (
        [12, 3, 4, 3, 6, 4, 3, 3, 3, 2, 4, 2, 3, 2, 3, 4, 1, 0, 0],
        1500,
    ),
    (
        [9, 1, 6, 4, 4, 0, 1, 2, 4, 1, 4, 1, 1, 1, 0, 1, 1, 3, 0],
        250,
    ),
    (
        [3, 1, 2, 1, 4, 1, 1, 2, 5, 1, 5, 1, 1, 2, 4, 1, 0, 2, 5],
        400,
    ),
    (
        [1, 2, 4, 4, 8, 4, 1, 2, 3, 1, 4, 0, 0, 0, 0, 4, 1, 2, 0],
        150,
    ),
];

fn op_strategy(
    replicas: usize,
    (weights, longest_pause_ms): OpMix,
) -> impl Strategy<Value = (Op, u16)> {
    let one_replica = (0..replicas).boxed();
    let two_replicas = (0..replicas, 0..replicas);
    let strategies: [BoxedStrategy<Op>; 19] = [
        (one_replica.clone(), 1..20u8)
            .prop_map(|(r, n)| Op::Propose(r, n))
            .boxed(),
        one_replica.clone().prop_map(Op::Kill).boxed(),
        one_replica.clone().prop_map(Op::Bounce).boxed(),
        (one_replica.clone(), 0..4u8)
            .prop_map(|(r, n)| Op::KillWithin(r, n))
            .boxed(),
        one_replica.clone().prop_map(Op::Restart).boxed(),
        one_replica.clone().prop_map(Op::LoseDisk).boxed(),
        two_replicas
            .clone()
            .prop_map(|(a, b)| Op::Cut(a, b))
            .boxed(),
        one_replica.clone().prop_map(Op::Isolate).boxed(),
        any::<u8>().prop_map(Op::Partition).boxed(),
        one_replica.clone().prop_map(Op::BlockInbound).boxed(),
        Just(Op::Heal).boxed(),
        (one_replica.clone(), 50..4000u16)
            .prop_map(|(r, ms)| Op::Freeze(r, ms))
            .boxed(),
        one_replica.clone().prop_map(Op::Compact).boxed(),
        one_replica.clone().prop_map(Op::Transfer).boxed(),
        one_replica.prop_map(Op::Change).boxed(),
        (1..60u8).prop_map(Op::Replay).boxed(),
        (0..30u8).prop_map(Op::Loss).boxed(),
        Just(Op::BounceLeader).boxed(),
        two_replicas
            .prop_map(|(a, b)| Op::ChangeTwice(a, b))
            .boxed(),
    ];
    let weighted = weights
        .into_iter()
        .zip(strategies)
        .filter(|(weight, _)| *weight > 0);
    let op = proptest::strategy::Union::new_weighted(weighted.collect());
    let pause =
        prop_oneof![3 => 0..100u16, 3 => 100..=longest_pause_ms, 1 => longest_pause_ms..4000u16];
    (op, pause)
}

pub fn schedule_strategy(replicas: usize) -> impl Strategy<Value = Schedule> {
    let steps = MIXES.map(|mix| vec(op_strategy(replicas, mix), 10..80).boxed());
    let steps = proptest::strategy::Union::new(steps);
    let flags = any::<[bool; 3]>();
    (any::<u64>(), flags, steps).prop_map(
        |(seed, [faults_before_formation, initially_stopped, short_timeouts], steps)| Schedule {
            seed,
            faults_before_formation,
            initially_stopped: faults_before_formation && initially_stopped,
            short_timeouts,
            steps,
        },
    )
}

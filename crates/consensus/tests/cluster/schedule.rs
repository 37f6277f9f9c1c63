use proptest::{collection::vec, prelude::*};
use serde::{Deserialize, Serialize};

/// One disturbance or request; replicas are numbered from 0.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Op {
    Propose(usize, u8),
    Kill(usize),
    /// Kills and starts at once.
    Bounce(usize),
    /// Kills after so many outputs of the next step.
    KillWithin(usize, u8),
    Restart(usize),
    LoseDisk(usize),
    Cut(usize, usize),
    Isolate(usize),
    /// Cuts the replicas whose bits are set off from the others.
    Split(u8),
    /// The replica receives nothing.
    Deafen(usize),
    Heal,
    Freeze(usize, u16),
    Compact(usize),
    Transfer(usize),
    /// Removes a voter or adds a learner.
    Change(usize),
    /// Delivers copies of old messages again.
    Replay(u8),
    Loss(u8),
    /// Kills the leader and starts it at once.
    BounceLeader,
    /// Two changes at once, at every node that takes itself for the leader.
    ChangeTwice(usize, usize),
}

/// What happens to a cluster, with the pause in milliseconds after each step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    /// Whether the disturbances start before the cluster is formed.
    pub early: bool,
    /// Whether no replica runs at first, so that the cluster forms during the disturbances.
    #[serde(default)]
    pub stopped: bool,
    /// Whether election timeouts are so short and alike that candidates collide.
    #[serde(default)]
    pub hasty: bool,
    pub steps: Vec<(Op, u16)>,
}

/// Weights of the operations, in the order of `Op`, and the longest short pause.
type Mix = ([u32; 19], u16);

/// The first mix has everything; the others dwell on crashes, membership and forming.
const MIXES: [Mix; 4] = [
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

fn ops(replicas: usize, (weights, longest): Mix) -> impl Strategy<Value = (Op, u16)> {
    let one = (0..replicas).boxed();
    let two = (0..replicas, 0..replicas);
    let ops: [BoxedStrategy<Op>; 19] = [
        (one.clone(), 1..20u8)
            .prop_map(|(r, n)| Op::Propose(r, n))
            .boxed(),
        one.clone().prop_map(Op::Kill).boxed(),
        one.clone().prop_map(Op::Bounce).boxed(),
        (one.clone(), 0..4u8)
            .prop_map(|(r, n)| Op::KillWithin(r, n))
            .boxed(),
        one.clone().prop_map(Op::Restart).boxed(),
        one.clone().prop_map(Op::LoseDisk).boxed(),
        two.clone().prop_map(|(a, b)| Op::Cut(a, b)).boxed(),
        one.clone().prop_map(Op::Isolate).boxed(),
        any::<u8>().prop_map(Op::Split).boxed(),
        one.clone().prop_map(Op::Deafen).boxed(),
        Just(Op::Heal).boxed(),
        (one.clone(), 50..4000u16)
            .prop_map(|(r, ms)| Op::Freeze(r, ms))
            .boxed(),
        one.clone().prop_map(Op::Compact).boxed(),
        one.clone().prop_map(Op::Transfer).boxed(),
        one.prop_map(Op::Change).boxed(),
        (1..60u8).prop_map(Op::Replay).boxed(),
        (0..30u8).prop_map(Op::Loss).boxed(),
        Just(Op::BounceLeader).boxed(),
        two.prop_map(|(a, b)| Op::ChangeTwice(a, b)).boxed(),
    ];
    let weighted = weights
        .into_iter()
        .zip(ops)
        .filter(|(weight, _)| *weight > 0);
    let op = proptest::strategy::Union::new_weighted(weighted.collect());
    let pause = prop_oneof![3 => 0..100u16, 3 => 100..=longest, 1 => longest..4000u16];
    (op, pause)
}

pub fn schedules(replicas: usize) -> impl Strategy<Value = Schedule> {
    let steps = MIXES.map(|mix| vec(ops(replicas, mix), 10..80).boxed());
    let steps = proptest::strategy::Union::new(steps);
    let flags = any::<[bool; 3]>();
    (any::<u64>(), flags, steps).prop_map(|(seed, [early, stopped, hasty], steps)| Schedule {
        seed,
        early,
        stopped: early && stopped,
        hasty,
        steps,
    })
}

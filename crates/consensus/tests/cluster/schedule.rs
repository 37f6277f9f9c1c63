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
}

/// What happens to a cluster, with the pause in milliseconds after each step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    /// Whether the disturbances start before the cluster is formed.
    pub early: bool,
    /// Whether election timeouts are so short and alike that candidates collide.
    #[serde(default)]
    pub hasty: bool,
    pub steps: Vec<(Op, u16)>,
}

pub fn schedules(replicas: usize) -> impl Strategy<Value = Schedule> {
    let which = 0..replicas;
    let op = prop_oneof![
        12 => (which.clone(), 1..20u8).prop_map(|(r, n)| Op::Propose(r, n)),
        3 => which.clone().prop_map(Op::Kill),
        3 => (which.clone(), 0..4u8).prop_map(|(r, n)| Op::KillWithin(r, n)),
        6 => which.clone().prop_map(Op::Restart),
        4 => which.clone().prop_map(Op::LoseDisk),
        3 => (which.clone(), which.clone()).prop_map(|(a, b)| Op::Cut(a, b)),
        3 => which.clone().prop_map(Op::Isolate),
        3 => any::<u8>().prop_map(Op::Split),
        4 => which.clone().prop_map(Op::Bounce),
        2 => which.clone().prop_map(Op::Deafen),
        4 => Just(Op::Heal),
        2 => (which.clone(), 50..4000u16).prop_map(|(r, ms)| Op::Freeze(r, ms)),
        3 => which.clone().prop_map(Op::Compact),
        2 => which.clone().prop_map(Op::Transfer),
        3 => which.prop_map(Op::Change),
        4 => (1..60u8).prop_map(Op::Replay),
        1 => (0..30u8).prop_map(Op::Loss),
    ];
    let pause = prop_oneof![3 => 0..100u16, 3 => 100..1500u16, 1 => 1500..4000u16];
    let steps = vec((op, pause), 10..80);
    (any::<u64>(), any::<bool>(), any::<bool>(), steps).prop_map(|(seed, early, hasty, steps)| {
        Schedule {
            seed,
            early,
            hasty,
            steps,
        }
    })
}

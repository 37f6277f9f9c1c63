//! Replacement of replicas by ones at other addresses, interrupted by changes of leader, restarts
//! and losses.

use crate::{
    deployment::{CATCH_UP_TIME, Deployment, tolerated_losses},
    schedule::Op,
};
use std::time::Duration;

/// Time between the loss of a replica and the start of its successor.
const SUCCESSOR_DELAY_MS: u64 = 700;
/// Time for which a killed leader, or all replicas, are down.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// What happens to the deployment besides the replacement.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    LeaderRestarts,
    LeaderRestartsTwice,
    LeadershipMoves,
    AllRestart,
    /// The successor finds that the log was compacted.
    LogsCompacted,
}

const INTERRUPTIONS: &[Interruption] = &[
    Interruption::LeaderRestarts,
    Interruption::LeaderRestartsTwice,
    Interruption::LeadershipMoves,
    Interruption::AllRestart,
    Interruption::LogsCompacted,
];

/// How a replica is replaced.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// The successor starts first; the predecessor stops once the successor has caught up.
    Planned,
    /// Like `Planned`, but the predecessor is killed.
    KilledAfterSuccessor,
    /// The predecessor is lost; its successor starts later.
    Unplanned,
}

struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    size: usize,
    replacement: Replacement,
    /// Number of replicas that are replaced at the same time.
    count: usize,
    /// Whether the leader is among the replaced replicas.
    replaces_leader: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "the voter of a stopped predecessor is kept for good, of three",
        size: 3,
        replacement: Replacement::Planned,
        count: 1,
        replaces_leader: false,
    },
    Case {
        name: "the voter of a stopped leader is kept for good, of three",
        size: 3,
        replacement: Replacement::Planned,
        count: 1,
        replaces_leader: true,
    },
    Case {
        name: "the voter of a killed predecessor is kept for good, of three",
        size: 3,
        replacement: Replacement::KilledAfterSuccessor,
        count: 1,
        replaces_leader: false,
    },
    Case {
        name: "the voter of a lost replica is kept for good, of three",
        size: 3,
        replacement: Replacement::Unplanned,
        count: 1,
        replaces_leader: false,
    },
    Case {
        name: "a new leader keeps the voter of a lost replica, of five",
        size: 5,
        replacement: Replacement::Unplanned,
        count: 1,
        replaces_leader: false,
    },
    Case {
        name: "voters of two stopped predecessors are kept for good, of five",
        size: 5,
        replacement: Replacement::Planned,
        count: 2,
        replaces_leader: true,
    },
    Case {
        name: "voters of two stopped predecessors are kept for good, of six",
        size: 6,
        replacement: Replacement::Planned,
        count: 2,
        replaces_leader: false,
    },
    Case {
        name: "voters of two lost replicas are kept for good, of six",
        size: 6,
        replacement: Replacement::Unplanned,
        count: 2,
        replaces_leader: true,
    },
];

impl Case {
    /// Replaces the replicas, with the interruption at the given time after the first step.
    fn play(&self, deployment: &mut Deployment, interruption: Interruption, at: Duration) {
        let leader = deployment.simulation.leader();
        let mut replaced = deployment.running.clone();
        replaced.sort_by_key(|r| (Some(*r) == leader) != self.replaces_leader);
        replaced.truncate(self.count);
        let start = deployment.simulation.now;
        match self.replacement {
            Replacement::Planned | Replacement::KilledAfterSuccessor => {
                for _ in &replaced {
                    deployment.add();
                }
                let stopped_at = start + CATCH_UP_TIME;
                if start + at < stopped_at {
                    deployment.simulation.run(at);
                    interrupt(deployment, interruption);
                }
                run_until(deployment, stopped_at);
                for replica in &replaced {
                    if matches!(self.replacement, Replacement::Planned) {
                        deployment.stop(*replica);
                    }
                    deployment.remove(*replica);
                }
                if start + at >= stopped_at {
                    run_until(deployment, start + at);
                    interrupt(deployment, interruption);
                }
            }
            Replacement::Unplanned => {
                replaced.iter().for_each(|r| deployment.remove(*r));
                let delay = Duration::from_millis(SUCCESSOR_DELAY_MS);
                deployment.simulation.run(delay);
                for _ in &replaced {
                    deployment.add();
                }
                deployment.simulation.run(at);
                interrupt(deployment, interruption);
            }
        }
        deployment.simulation.run(CATCH_UP_TIME * 3);
    }
}

fn run_until(deployment: &mut Deployment, time: Duration) {
    let remaining = time.saturating_sub(deployment.simulation.now);
    deployment.simulation.run(remaining);
}

fn interrupt(deployment: &mut Deployment, interruption: Interruption) {
    match interruption {
        Interruption::LeaderRestarts => deployment.restart_leader(RESTART_DELAY),
        Interruption::LeaderRestartsTwice => {
            deployment.restart_leader(RESTART_DELAY);
            deployment.restart_leader(RESTART_DELAY);
        }
        Interruption::LeadershipMoves => {
            let to = deployment.running[0];
            deployment.simulation.perform(Op::Transfer(to));
        }
        Interruption::AllRestart => deployment.restart_all(RESTART_DELAY),
        Interruption::LogsCompacted => deployment.compact_all(),
    }
}

/// Guards against voters that stay in the membership after their replicas were replaced. They count
/// towards majorities, so that the losses that the deployment tolerates stop it for good.
#[test]
fn replaced_replicas_do_not_stay_voters() {
    for case in CASES {
        let mut deployment = Deployment::start(case.size, 3);
        let compact_at = Duration::from_millis(100);
        case.play(&mut deployment, Interruption::LogsCompacted, compact_at);
        deployment.check(case.name, 0);
        deployment.check_bears_losses(case.name);
    }
}

/// Guards against knowledge of a replacement that only the leader has, at each point of the
/// replacement.
#[test]
fn replacements_continue_after_interruptions() {
    for (case, interruption) in CASES
        .iter()
        .flat_map(|c| INTERRUPTIONS.iter().map(move |i| (c, *i)))
    {
        for at_ms in (0..7500).step_by(750) {
            let context = format!("{}, {interruption:?} after {at_ms} ms", case.name);
            let mut deployment = Deployment::start(case.size, at_ms);
            case.play(&mut deployment, interruption, Duration::from_millis(at_ms));
            deployment.check(&context, 0);
            deployment.check_bears_losses(&context);
        }
    }
}

/// Guards against the same without knowledge of the losses that the deployment tolerates.
#[test]
fn replacements_need_no_stated_tolerance() {
    for case in CASES {
        for at_ms in (0..7500).step_by(1500) {
            let context = format!("{}, leader restarts after {at_ms} ms", case.name);
            let mut deployment = Deployment::start_with(case.size, at_ms, None);
            let at = Duration::from_millis(at_ms);
            case.play(&mut deployment, Interruption::LeaderRestarts, at);
            deployment.check(&context, 0);
            deployment.check_bears_losses(&context);
        }
    }
}

/// Guards against a planned stop that the others only notice by the silence that follows: the losses
/// that the deployment tolerates would stop it for good if they came before that.
#[test]
fn stopped_predecessor_is_no_voter_when_it_ends() {
    for (size, seed) in [3, 5]
        .into_iter()
        .flat_map(|s| (0..10).map(move |n| (s, n)))
    {
        let context = format!("{size} replicas, seed {seed}");
        let mut deployment = Deployment::start(size, seed);
        let predecessor = seed as usize % size;
        deployment.add();
        deployment.simulation.run(CATCH_UP_TIME);
        deployment.stop(predecessor);
        deployment.remove(predecessor);
        deployment.check_bears_losses(&context);
    }
}

/// Guards against a rolling restart that leaves out replicas: each of them leaves when it stops, and
/// may have been removed when it starts again.
#[test]
fn rolling_restart_keeps_all_voters() {
    for size in 3..=7 {
        let mut deployment = Deployment::start(size, 9);
        for replica in 0..size {
            deployment.stop(replica);
            deployment.simulation.run(Duration::from_secs(1));
            deployment.restart_stopped();
            deployment.simulation.run(Duration::from_secs(1));
            deployment.check(&format!("{size} replicas, {replica} restarted"), 0);
        }
    }
}

/// Guards against a removal that shrinks a deployment that was extended: five replicas then have to
/// bear two losses, also while one of them is paused.
#[test]
fn extended_deployment_keeps_its_voters() {
    for (tolerated, pause_s) in [(None, 6), (Some(tolerated_losses(5)), 20)] {
        let mut deployment = Deployment::start_with(3, 1, tolerated);
        for _ in 0..2 {
            deployment.add();
            deployment.simulation.run(CATCH_UP_TIME);
        }
        deployment.size = 5;
        deployment.tolerated = tolerated_losses(5);
        let paused = deployment.running[4];
        deployment.simulation.perform(Op::Isolate(paused));
        deployment.simulation.run(Duration::from_secs(pause_s));
        assert_eq!(deployment.voters().len(), 5, "{tolerated:?}");
        deployment.simulation.perform(Op::Heal);
        deployment.simulation.run(CATCH_UP_TIME);
        deployment.check("after the extension", 0);
        deployment.check_bears_losses("after the extension");
    }
}

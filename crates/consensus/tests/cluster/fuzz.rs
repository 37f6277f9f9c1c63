use crate::{schedule::*, simulation::Simulation};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use std::{
    cell::Cell,
    env,
    time::{Duration, Instant},
};

const CASES: u32 = 24;
const SEED: u64 = 1;
const REPLICAS: usize = 5;

fn number(variable: &str, default: u64) -> u64 {
    env::var(variable).map_or(default, |v| v.parse().expect("a number"))
}

/// Guards the safety rules as a whole. `MANGOSPINDLE_FUZZ_CASES` and `MANGOSPINDLE_FUZZ_SEED` choose
/// longer runs.
#[test]
fn schedules_keep_the_rules() {
    let cases = number("MANGOSPINDLE_FUZZ_CASES", u64::from(CASES)) as u32;
    let seed = number("MANGOSPINDLE_FUZZ_SEED", SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        max_shrink_iters: number("MANGOSPINDLE_FUZZ_SHRINK", 300) as u32,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let (start, steps, simulated) = (Instant::now(), Cell::new(0), Cell::new(Duration::ZERO));
    let result = TestRunner::new_with_rng(config, random).run(&schedules(REPLICAS), |schedule| {
        let simulation = Simulation::play(&schedule, REPLICAS);
        steps.set(steps.get() + simulation.steps);
        simulated.set(simulated.get() + simulation.now);
        Ok(())
    });
    println!(
        "{cases} schedules, {} node steps, {:?} simulated, {:?}",
        steps.get(),
        simulated.get(),
        start.elapsed()
    );
    match result {
        Ok(()) => {}
        Err(TestError::Fail(reason, schedule)) => panic!("{reason}\n{schedule:?}"),
        Err(failure) => panic!("{failure}"),
    }
}

/// Schedules that have failed before, with what was seen.
struct Case {
    name: &'static str,
    seed: u64,
    early: bool,
    steps: &'static [(Op, u16)],
}

const CASES_FOUND: &[Case] = &[
    Case {
        name: "a voter was removed while two of the others had lost their disks",
        seed: 0,
        early: false,
        steps: &[
            (Op::LoseDisk(4), 0),
            (Op::LoseDisk(0), 618),
            (Op::Change(1), 0),
            (Op::Propose(3, 12), 636),
        ],
    },
    Case {
        name: "replicas that lost their disks had committed an initial membership that no other knew",
        seed: 7871623063044127546,
        early: true,
        steps: &[
            (Op::Replay(7), 28),
            (Op::Isolate(3), 0),
            (Op::Propose(0, 1), 31),
            (Op::Freeze(0, 362), 461),
            (Op::Replay(26), 0),
            (Op::LoseDisk(0), 1),
            (Op::KillWithin(0, 0), 665),
            (Op::LoseDisk(3), 274),
            (Op::Replay(13), 97),
            (Op::Isolate(1), 1244),
        ],
    },
    Case {
        name: "the only node with an uncommitted removal of itself did not stand for election",
        seed: 0,
        early: false,
        steps: &[
            (Op::Change(1), 15),
            (Op::KillWithin(1, 0), 23),
            (Op::KillWithin(1, 0), 1730),
            (Op::Change(2), 132),
            (Op::Cut(1, 0), 1180),
            (Op::KillWithin(4, 0), 779),
            (Op::Change(2), 190),
            (Op::Kill(2), 0),
            (Op::LoseDisk(0), 5),
            (Op::Change(3), 0),
            (Op::LoseDisk(4), 3498),
        ],
    },
    Case {
        name: "a voter that missed the end of the formation could not learn it without a leader",
        seed: 6342913284601920507,
        early: true,
        steps: &[
            (Op::Isolate(1), 20),
            (Op::Replay(33), 40),
            (Op::Compact(0), 20),
            (Op::Restart(0), 381),
            (Op::Kill(4), 1073),
            (Op::Compact(0), 0),
            (Op::Replay(3), 14),
            (Op::Propose(0, 1), 532),
            (Op::Cut(4, 3), 68),
            (Op::Transfer(3), 2602),
            (Op::Change(4), 3889),
            (Op::Heal, 15),
            (Op::Propose(1, 7), 1016),
            (Op::Kill(0), 73),
            (Op::Change(0), 38),
            (Op::Kill(2), 776),
            (Op::Propose(3, 14), 1854),
            (Op::Heal, 861),
            (Op::LoseDisk(1), 25),
            (Op::LoseDisk(0), 91),
            (Op::Kill(3), 44),
            (Op::Isolate(0), 1308),
            (Op::Restart(0), 27),
            (Op::Replay(56), 64),
            (Op::Propose(3, 18), 72),
            (Op::KillWithin(1, 0), 726),
        ],
    },
];

#[test]
fn schedules_that_failed_before_keep_the_rules() {
    for case in CASES_FOUND {
        println!("{}", case.name);
        Simulation::play(
            &Schedule {
                seed: case.seed,
                early: case.early,
                steps: case.steps.to_vec(),
            },
            REPLICAS,
        );
    }
}

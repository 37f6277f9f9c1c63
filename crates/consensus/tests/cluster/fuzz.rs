use crate::{env_number, schedule::*, simulation::Simulation};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use serde::Deserialize;
use std::{
    cell::Cell,
    time::{Duration, Instant},
};

const CASES: u32 = 24;
const SEED: u64 = 1;
const REPLICAS: usize = 5;

/// Guards against violations of the oracle's invariants, and clusters that do not recover, under
/// random schedules of faults. `MANGOSPINDLE_FUZZ_CASES`, `MANGOSPINDLE_FUZZ_SEED` and
/// `MANGOSPINDLE_FUZZ_SHRINK` set the number of cases, the seed and the limit for shrinking.
#[test]
fn random_schedules_preserve_invariants() {
    let cases = env_number("MANGOSPINDLE_FUZZ_CASES", u64::from(CASES)) as u32;
    let seed = env_number("MANGOSPINDLE_FUZZ_SEED", SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        max_shrink_iters: env_number("MANGOSPINDLE_FUZZ_SHRINK", 300) as u32,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let (start, steps, simulated) = (Instant::now(), Cell::new(0), Cell::new(Duration::ZERO));
    let result =
        TestRunner::new_with_rng(config, rng).run(&schedule_strategy(REPLICAS), |schedule| {
            let simulation = Simulation::run_schedule(&schedule, REPLICAS);
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
        Err(TestError::Fail(reason, schedule)) => {
            let schedule = serde_json::to_string(&schedule).expect("the schedule should serialize");
            panic!("{reason}\n{schedule}")
        }
        Err(failure) => panic!("{failure}"),
    }
}

/// A schedule that failed in an earlier run.
#[derive(Deserialize)]
struct Case {
    /// The failure that the schedule reproduces.
    name: String,
    schedule: Schedule,
}

/// Guards against failures that earlier fuzz runs found.
#[test]
fn regression_schedules_preserve_invariants() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("regressions.json"))
        .expect("regressions.json should be valid");
    for case in cases {
        println!("{}", case.name);
        Simulation::run_schedule(&case.schedule, REPLICAS);
    }
}

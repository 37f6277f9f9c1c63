use crate::{schedule::*, simulation::Simulation};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use serde::Deserialize;
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
        Err(TestError::Fail(reason, schedule)) => {
            let schedule = serde_json::to_string(&schedule).expect("a schedule");
            panic!("{reason}\n{schedule}")
        }
        Err(failure) => panic!("{failure}"),
    }
}

/// A schedule that has failed before.
#[derive(Deserialize)]
struct Case {
    /// What was seen.
    name: String,
    schedule: Schedule,
}

#[test]
fn schedules_that_failed_before_keep_the_rules() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("found.json")).expect("cases");
    for case in cases {
        println!("{}", case.name);
        Simulation::play(&case.schedule, REPLICAS);
    }
}

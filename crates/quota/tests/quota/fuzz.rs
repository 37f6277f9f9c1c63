use crate::op::{Op, op};
use crate::simulation::World;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::time::Instant;

/// Number of cases of each fuzz test; a longer run sets this variable.
const CASES_VARIABLE: &str = "MANGOSPINDLE_FUZZ_CASES";
const DEFAULT_CASES: u32 = 40;
/// Seed of the run; set this variable to try others.
const SEED_VARIABLE: &str = "MANGOSPINDLE_FUZZ_SEED";

fn number(variable: &str, default: u32) -> u32 {
    std::env::var(variable)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

fn run(name: &str, with_cut_off: bool) {
    let cases = number(CASES_VARIABLE, DEFAULT_CASES);
    let seed = number(SEED_VARIABLE, 1).to_le_bytes().repeat(8);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
    let ops = prop::collection::vec(op(with_cut_off), 1..250);
    let strategy = (any::<u64>(), 4..26u32, 0..12u32, ops);
    let (steps, dispatched, start) = (Cell::new(0), Cell::new(0), Instant::now());
    let result = runner.run(
        &strategy,
        |(seed, limit, cross, ops): (u64, u32, u32, Vec<Op>)| {
            let mut world = World::new(seed, !with_cut_off, limit, cross);
            for op in &ops {
                world.apply(op);
            }
            world.settle();
            steps.set(steps.get() + ops.len());
            dispatched.set(dispatched.get() + world.oracle.dispatched);
            Ok(())
        },
    );
    println!(
        "{name}: {cases} cases, {} steps, {} dispatches, {:?}",
        steps.get(),
        dispatched.get(),
        start.elapsed()
    );
    result.expect("no violation");
}

/// Guards against limits that are exceeded while configurations arrive late, owners die and
/// restart, and endpoints change their owner.
#[test]
fn limits_hold_across_owners() {
    run("limits_hold_across_owners", false);
}

/// Guards against cross-region admissions and doubly used endpoints when owners are cut off from
/// control for any time. The region limit is not exact then, which the design accepts.
#[test]
fn cross_region_limit_holds_for_cut_off_owners() {
    run("cross_region_limit_holds_for_cut_off_owners", true);
}

//! Simulates a cluster in one thread and checks it against an oracle.

mod deployment;
mod disk;
mod disk_losses;
mod faults;
mod fuzz;
mod membership_soak;
mod open_membership;
mod operations;
mod oracle;
mod replacements;
mod schedule;
mod simulation;

use std::env;

/// Returns the number in an environment variable, or the default if it is not set.
fn env_number(variable: &str, default: u64) -> u64 {
    env::var(variable).map_or(default, |v| {
        v.parse().expect("the variable should be a number")
    })
}

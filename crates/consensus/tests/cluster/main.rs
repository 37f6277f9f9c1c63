//! Simulates a cluster in one thread and checks it against an oracle.

mod disk;
mod disk_losses;
mod faults;
mod fuzz;
mod open_membership;
mod operations;
mod oracle;
mod schedule;
mod simulation;

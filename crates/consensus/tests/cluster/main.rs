//! Several nodes in one thread, against an oracle.

mod disk;
mod disturbances;
mod fuzz;
mod losses;
mod open;
mod operations;
mod oracle;
mod schedule;
mod simulation;

//! Several nodes in one thread, against an oracle.

mod disk;
mod fuzz;
mod losses;
mod oracle;
mod schedule;
mod simulation;

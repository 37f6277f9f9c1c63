//! Tests of admission control and link pacing.

mod fixture;
mod fuzz;
mod op;
mod oracle;
mod world;

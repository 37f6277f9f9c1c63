//! Tests of admission control and link pacing.

mod admission_cases;
mod fixture;
mod fuzz;
mod link_cases;
mod op;
mod oracle;
mod overload;
mod owner;
mod world;

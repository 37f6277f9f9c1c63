//! Open-loop load generator.
//!
//! Requests start at times drawn from a seeded Poisson process, whether or not earlier ones have
//! been answered, and latencies count from the scheduled time. A slow system therefore cannot hide
//! its delays by slowing the generator down.

mod caller;
mod command;
mod direct;
mod histogram;
mod lookup_cache;
mod plan;
mod recorder;
mod report;
mod route;
mod run;
mod traffic;

pub use command::{Command, command, run_command};
pub use plan::{LoadPlan, MAX_TRIED, UPLOAD_DEADLINE};
pub use report::{ClassReport, LatencyMs, LoadReport};
pub use route::Route;
pub use run::run_load;
pub use traffic::{Traffic, TrafficKind};

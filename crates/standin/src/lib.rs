//! Stand-ins for what the platform provides: endpoints of services and the list of VMs.
//!
//! They serve development and tests. An endpoint stand-in counts what it runs, so that tests can
//! check limits and at-most-once execution at the receiving side, and it can be told to misbehave.

mod admin;
mod behaviour;
mod command;
mod endpoint_server;
mod endpoint_state;
mod fleet;
mod in_progress;
mod report;
mod vm_list;

pub use behaviour::{Behaviour, Failure, HealthState};
pub use command::{Command, command, run};
pub use report::{EndpointReport, RegionReport, Report};

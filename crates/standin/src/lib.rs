//! Stand-ins for what the platform provides: endpoints of services and the list of VMs.
//!
//! They are used in development and tests. An endpoint stand-in counts the requests that it
//! executes, so that tests can check limits and at-most-once execution at the receiver. It can also
//! simulate failures.

mod admin;
mod behaviour;
mod command;
mod endpoint_server;
mod endpoint_state;
mod fleet;
mod in_progress_guard;
mod report;
mod vm_list;

pub use behaviour::{Behaviour, Failure, HealthState};
pub use command::{Command, command, run};
pub use report::{EndpointReport, RegionReport, Report};

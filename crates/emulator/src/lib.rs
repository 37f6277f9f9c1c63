//! A seeded emulator of endpoints and callers.
//!
//! An endpoint has slots, a queue, a working set of recently used objects and a cold start. Entries
//! choose endpoints according to a [`Policy`]. Callers retry once after a refusal.
//!
//! Time is simulated: a run with thousands of requests takes well under a second. The same scenario
//! and seed always give the same report. Network faults are not emulated; tests with real processes
//! cover them.

mod allowance;
mod endpoint;
mod entry;
mod event;
mod plot;
mod policy;
mod report;
mod scenario;
mod simulation;

pub use allowance::{
    AllowanceChange, AllowanceComparison, AllowanceDesign, AllowanceLoad, AllowanceReport,
    AllowanceScenario, Rejection, WorkspaceLoad, WorkspaceReport, run_allowances,
};
pub use plot::plot_svg;
pub use policy::Policy;
pub use report::{ClassReport, RegionReport, Report};
pub use scenario::{Change, DomainConfig, RequestClass, Scenario, Service};
pub use simulation::run;

//! Emulation of entries and replicas that enforce the allowances of workspaces.
//!
//! The limiter of the entries and the table of the replicas are those of the product. Callers, message
//! delays and failures are emulated.

mod comparison;
mod design;
mod limiter;
mod report;
mod scenario;
mod simulation;

pub use comparison::{AllowanceComparison, AllowanceLoad};
pub use design::AllowanceDesign;
pub use report::{AllowanceReport, Rejection, WorkspaceReport};
pub use scenario::{AllowanceChange, AllowanceScenario, WorkspaceLoad};
pub use simulation::run_allowances;

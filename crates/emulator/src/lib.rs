//! A seeded emulator of endpoints and callers.
//!
//! Endpoints have slots, a queue, a memory of the objects that they handled lately and a cold start.
//! Entries choose endpoints by a [`Policy`]; callers come back once after a refusal. Time is
//! simulated, so that a day of thousands of requests takes well under a second, and the same
//! scenario and seed give the same report. It knows no network faults: those are the business of
//! tests with real processes.

mod endpoint;
mod entry;
mod event;
mod plot;
mod policy;
mod report;
mod scenario;
mod simulation;

pub use plot::plot_svg;
pub use policy::Policy;
pub use report::{ClassReport, Report};
pub use scenario::{Change, Class, Place, Scenario, Service};
pub use simulation::run;

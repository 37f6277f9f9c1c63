use mangospindle_bench::Route;
use serde::{Deserialize, Serialize};

/// What decides where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The entries.
    Entries,
    /// Baseline: callers use all endpoints of the service in turn.
    RoundRobin,
    /// Baseline: callers use the endpoint with the least reported load in the nearest region.
    LeastReported,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 3] = [Policy::Entries, Policy::RoundRobin, Policy::LeastReported];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Entries => "entries",
            Policy::RoundRobin => "round robin",
            Policy::LeastReported => "least reported",
        }
    }

    /// How callers find their target.
    pub fn route(self) -> Route {
        match self {
            Policy::Entries => Route::Lookup,
            Policy::RoundRobin => Route::RoundRobin,
            Policy::LeastReported => Route::LeastReported,
        }
    }
}

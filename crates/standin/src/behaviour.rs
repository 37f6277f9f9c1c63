use serde::{Deserialize, Serialize};

/// State that an endpoint reports in its health response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Accepts requests.
    #[default]
    Ok,
    /// Finishes the requests in progress and accepts no new ones.
    Leaving,
}

/// Simulated failure of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// Responds normally.
    #[default]
    None,
    /// Responds immediately with status 500.
    FailFast,
    /// Never responds. As at every endpoint, work on the request ends at its deadline.
    Stall,
    /// Closes the connection in the middle of the response.
    Truncate,
}

/// Configurable behaviour of an endpoint stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// State in the health response.
    pub health: HealthState,
    /// Whether the health response keeps reporting the load from the time this was set.
    pub freeze_readings: bool,
    /// Simulated failure.
    pub failure: Failure,
    /// Processing time of a request, in milliseconds.
    pub service_time_ms: u64,
    /// Whether the processing time grows in proportion to the requests in progress once these exceed
    /// the slots, as it does where a slot is a core or a worker thread.
    pub slow_above_slots: bool,
    /// Number of first requests from each home region that take `cold_time_ms` longer, because the
    /// caches for that region are cold.
    pub cold_requests: u32,
    /// Additional processing time of a request with cold caches, in milliseconds.
    pub cold_time_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            health: HealthState::Ok,
            freeze_readings: false,
            failure: Failure::None,
            service_time_ms: 20,
            slow_above_slots: false,
            cold_requests: 0,
            cold_time_ms: 0,
        }
    }
}

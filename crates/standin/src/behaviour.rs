use serde::{Deserialize, Serialize};

/// What an endpoint says about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Takes requests.
    #[default]
    Ok,
    /// Finishes what it has and takes no new requests.
    Leaving,
}

/// How an endpoint treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// Answers normally.
    #[default]
    None,
    /// Answers 500 at once.
    FailFast,
    /// Never answers. Work on the request ends at its deadline, as at every endpoint.
    Stall,
    /// Closes the connection in the middle of the answer.
    Truncate,
}

/// Adjustable behaviour of an endpoint stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// State in the health answer.
    pub health: HealthState,
    /// Whether health answers keep their last values.
    pub freeze_readings: bool,
    /// How requests are treated.
    pub failure: Failure,
    /// Processing time of a request, in milliseconds.
    pub service_time_ms: u64,
    /// Whether the processing time grows in proportion to the requests in progress above the
    /// slots, as it does where a slot is a core or a worker.
    pub slow_above_slots: bool,
    /// Number of requests from each other region that take `cold_time_ms` more, because the caches
    /// for that region are cold.
    pub cold_requests: u32,
    /// Additional processing time with cold caches, in milliseconds.
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

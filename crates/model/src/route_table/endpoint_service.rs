use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What is common to the endpoints of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointService {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that an endpoint accepts from all callers together.
    pub max_connections: u32,
    /// How long an endpoint stays cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold endpoint tolerates from all callers together.
    pub cold_rate: f64,
}

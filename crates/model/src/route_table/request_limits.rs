use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

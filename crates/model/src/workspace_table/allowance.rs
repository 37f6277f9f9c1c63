use serde::{Deserialize, Serialize};

/// Requests that a workspace may send, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

use mangospindle_bench::LatencyMs;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the callers saw of one request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// Requests started.
    pub started: u64,
    /// Requests without a complete and correct answer.
    pub refused: u64,
    /// Those by error name.
    pub failed: BTreeMap<String, u64>,
    /// Latency of complete answers.
    pub latency_ms: LatencyMs,
}

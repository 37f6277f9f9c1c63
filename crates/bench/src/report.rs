use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Result of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seed of the load.
    pub seed: u64,
    /// Results by request class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Most requests served outside the home region in one second, by service, home region and
    /// serving region (`service home->region`), as the callers saw it.
    pub max_cross_region_per_second: BTreeMap<String, u32>,
    /// Idempotency keys that the callers saw accepted.
    pub accepted_keys: Vec<String>,
    /// Idempotency keys that were refused as not run.
    pub not_run_keys: Vec<String>,
}

/// Result of one request class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests started.
    pub started: u64,
    /// Complete and correct answers.
    pub succeeded: u64,
    /// Answers by error name: a problem type, or `transport`, `incomplete` or `wrong_answer`.
    pub failed: BTreeMap<String, u64>,
    /// Latency of successful requests.
    pub latency_ms: LatencyMs,
}

/// Latency quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyMs {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>9}{:>11}{:>9}{:>9}{:>9}  failures",
            "class", "started", "succeeded", "p50 ms", "p99 ms", "max ms"
        )?;
        for (class, c) in &self.classes {
            let failed: Vec<String> = (c.failed.iter()).map(|(k, n)| format!("{k}={n}")).collect();
            writeln!(
                f,
                "{:<14}{:>9}{:>11}{:>9.1}{:>9.1}{:>9.1}  {}",
                class,
                c.started,
                c.succeeded,
                c.latency_ms.p50,
                c.latency_ms.p99,
                c.latency_ms.max,
                failed.join(" ")
            )?;
        }
        for (pair, n) in &self.max_cross_region_per_second {
            writeln!(f, "cross-region {pair}: at most {n} requests in a second")?;
        }
        Ok(())
    }
}

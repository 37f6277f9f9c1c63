use crate::policy_result::PolicyResult;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Result of one experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentResult {
    /// The example deployment.
    pub deployment: String,
    /// The case.
    pub case: String,
    /// Seed of the load.
    pub seed: u64,
    /// Profile of all services.
    pub profile: String,
    /// Requests per second from each region.
    pub rate: f64,
    /// How long requests were started.
    pub seconds: u64,
    /// Load averages of the machine over one minute before and after the run.
    pub load_average: [f64; 2],
    /// Results by policy.
    pub policies: Vec<PolicyResult>,
}

impl fmt::Display for ExperimentResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} {}, profile {}, seed {}, {} requests/s per region for {} s, load average {:.1} to {:.1}\n",
            self.deployment,
            self.case,
            self.profile,
            self.seed,
            self.rate,
            self.seconds,
            self.load_average[0],
            self.load_average[1]
        )?;
        writeln!(
            f,
            "| policy | class | started | refused | p50 ms | p99 ms | p99.9 ms | slot use | region use | cross-region/s (limit) | requests per caller request | violations |"
        )?;
        writeln!(f, "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")?;
        for p in &self.policies {
            for (class, c) in &p.classes {
                writeln!(
                    f,
                    "| {} | {class} | {} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {} ({}) | {:.3} | {} |",
                    p.policy.name(),
                    c.started,
                    c.refused,
                    c.latency_ms.p50,
                    c.latency_ms.p99,
                    c.latency_ms.p999,
                    p.slot_use,
                    p.region_use,
                    p.cross_region_per_second,
                    p.cross_region_limit,
                    p.requests_per_caller_request,
                    p.violations
                )?;
            }
        }
        for p in &self.policies {
            for (class, c) in p.classes.iter().filter(|(_, c)| c.refused > 0) {
                let failed: Vec<String> =
                    (c.failed.iter()).map(|(k, n)| format!("{k}={n}")).collect();
                writeln!(f, "\n{} {class}: {}", p.policy.name(), failed.join(" "))?;
            }
        }
        Ok(())
    }
}

use crate::class_result::ClassResult;
use crate::policy::Policy;
use mangospindle_bench::LoadReport;
use mangospindle_harness::violations;
use mangospindle_standin::Report;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Result of one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyResult {
    /// The policy.
    pub policy: Policy,
    /// Results by request class.
    pub classes: BTreeMap<String, ClassResult>,
    /// Highest use of any endpoint's slots, as a fraction.
    pub slot_use: f64,
    /// Most requests in progress in any region, as a fraction of its limit.
    pub region_use: f64,
    /// Most requests that endpoints received from clients of another region in one second, over
    /// all services and pairs of regions.
    pub cross_region_per_second: u32,
    /// The profile's limit for it.
    pub cross_region_limit: u32,
    /// Requests at endpoints per caller request.
    pub requests_per_caller_request: f64,
    /// Number of violations of invariants.
    pub violations: usize,
    /// The first of them.
    pub first_violations: Vec<String>,
}

/// Violations that are listed; the others are only counted.
const LISTED_VIOLATIONS: usize = 5;

impl PolicyResult {
    /// Combines what callers and endpoints counted.
    pub fn new(policy: Policy, load: &LoadReport, report: &Report, limit: u32) -> Self {
        let classes: BTreeMap<String, ClassResult> = (load.classes.iter())
            .map(|(name, c)| {
                let class = ClassResult {
                    started: c.started,
                    refused: c.started - c.succeeded,
                    failed: c.failed.clone(),
                    latency_ms: c.latency_ms,
                };
                (name.clone(), class)
            })
            .collect();
        let started: u64 = classes.values().map(|c| c.started).sum();
        let at_endpoints: u64 = report.endpoints.values().map(|e| e.requests).sum();
        let share = |n: u32, limit: u32| f64::from(n) / f64::from(limit.max(1));
        let endpoints = report.endpoints.values();
        let regions = report.regions.values();
        let foreign = report.regions.iter().flat_map(|(serving, region)| {
            (region.arrivals.iter())
                .filter(move |(source, _)| !source.ends_with(&format!(" {serving}")))
                .flat_map(|(_, windows)| windows.iter().copied())
        });
        let mut found = violations(report, load);
        let count = found.len();
        found.truncate(LISTED_VIOLATIONS);
        PolicyResult {
            policy,
            classes,
            slot_use: (endpoints.map(|e| share(e.max_in_progress, e.slots))).fold(0.0, f64::max),
            region_use: (regions.map(|r| share(r.max_in_progress, r.limit))).fold(0.0, f64::max),
            cross_region_per_second: foreign.max().unwrap_or(0),
            cross_region_limit: limit,
            requests_per_caller_request: at_endpoints as f64 / started.max(1) as f64,
            violations: count,
            first_violations: found,
        }
    }
}

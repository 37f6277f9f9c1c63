use mangospindle_bench::LoadReport;
use mangospindle_standin::Report;
use std::collections::BTreeMap;

/// Lists everything in the counts of endpoints and callers that must never happen: limits exceeded,
/// actions that ran twice, actions that ran although they were refused as not run, work at leaving
/// endpoints, and wrong or incomplete answers passed off as complete.
pub fn violations(report: &Report, load: &LoadReport) -> Vec<String> {
    let mut found = Vec::new();
    for (name, e) in &report.endpoints {
        if e.max_in_progress > e.slots {
            found.push(format!(
                "{name}: {} requests in progress, {} slots",
                e.max_in_progress, e.slots
            ));
        }
        if e.requests_while_leaving > 0 {
            found.push(format!(
                "{name}: {} requests more than 2 s after it said that it leaves",
                e.requests_while_leaving
            ));
        }
    }
    for (name, r) in &report.regions {
        if r.max_in_progress > r.limit {
            found.push(format!(
                "{name}: {} requests in progress, limit {}",
                r.max_in_progress, r.limit
            ));
        }
    }
    let mut executions: BTreeMap<&str, u32> = BTreeMap::new();
    for (key, n) in report.endpoints.values().flat_map(|e| &e.executions) {
        *executions.entry(key).or_default() += n;
    }
    let repeated = executions.iter().filter(|(_, n)| **n > 1);
    found.extend(repeated.map(|(key, n)| format!("action {key} ran {n} times")));
    for key in &load.not_run_keys {
        if executions.contains_key(key.as_str()) {
            found.push(format!("action {key} was refused as not run, but ran"));
        }
    }
    for key in &load.accepted_keys {
        if !executions.contains_key(key.as_str()) {
            found.push(format!(
                "action {key} was answered as done, but did not run"
            ));
        }
    }
    for (class, c) in &load.classes {
        if let Some(n) = c.failed.get("wrong_answer") {
            found.push(format!("{n} requests of class {class} got a wrong answer"));
        }
    }
    found
}

//! Prints two results side by side.

use crate::result::ExperimentResult;

/// Prints the latencies and refusals of two results, and the ratio of their p99.
pub fn print(before: &ExperimentResult, after: &ExperimentResult) {
    for (name, result) in [("A", before), ("B", after)] {
        println!(
            "{name}: {} {}, profile {}, seed {}, {} requests/s per region, {} s",
            result.deployment,
            result.case,
            result.profile,
            result.seed,
            result.rate,
            result.seconds
        );
    }
    println!(
        "\n| policy | class | refused A | refused B | p50 A | p50 B | p99 A | p99 B | p99 B/A |"
    );
    println!("|---|---|--:|--:|--:|--:|--:|--:|--:|");
    for a in &before.policies {
        let Some(b) = after.policies.iter().find(|b| b.policy == a.policy) else {
            continue;
        };
        for (class, ca) in &a.classes {
            let Some(cb) = b.classes.get(class) else {
                continue;
            };
            println!(
                "| {} | {class} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.2} |",
                a.policy.name(),
                ca.refused,
                cb.refused,
                ca.latency_ms.p50,
                cb.latency_ms.p50,
                ca.latency_ms.p99,
                cb.latency_ms.p99,
                cb.latency_ms.p99 / ca.latency_ms.p99.max(f64::MIN_POSITIVE)
            );
        }
    }
}

//! Sums of usage for operators.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_allowance::{EntryUsage, UsageReport, UsageSummary, UsageTable};
use mangospindle_model::{Allowance, Workspace, WorkspaceTable};
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

fn table(names: &[&str]) -> WorkspaceTable {
    let workspace = |name: &&str| {
        let allowance = (*name != "open").then_some(Allowance {
            rate: 10.0,
            burst: 20.0,
        });
        let workspace = Workspace {
            allowance,
            ..Workspace::default()
        };
        (name.to_string(), workspace)
    };
    WorkspaceTable {
        workspaces: names.iter().map(workspace).collect(),
        ..WorkspaceTable::default()
    }
}

fn report(workspace: &str, admitted: i64, rejected: u64, offered_rate: f32) -> UsageReport {
    UsageReport {
        entry: "front-0".to_string(),
        incarnation: 1,
        workspaces: vec![EntryUsage {
            workspace: workspace.to_string(),
            admitted,
            acknowledged: 0,
            rejected,
            offered_rate,
        }],
    }
}

struct Step {
    /// The failure that the step guards against.
    guards: &'static str,
    action: fn(&mut UsageTable, Duration),
    expected: UsageSummary,
}

fn summary(allowances: usize, short: usize, rejected: u64) -> UsageSummary {
    UsageSummary {
        allowances,
        short,
        rejected,
    }
}

/// Guards against sums that an operator cannot rely on: workspaces without a limit that are counted, a
/// short workspace that is missed, and a number of rejections that falls.
#[test]
fn summary_follows_reports_and_configuration() {
    let steps = [
        Step {
            guards: "counting workspaces without an allowance",
            action: |usage, now| usage.set_limits(now, &table(&["a", "b", "open"])),
            expected: summary(2, 0, 0),
        },
        Step {
            guards: "a short workspace within its rate",
            action: |usage, now| {
                usage.respond(now, &report("a", 5, 0, 5.0), 1);
            },
            expected: summary(2, 0, 0),
        },
        Step {
            guards: "missing rejections or a workspace above its rate",
            action: |usage, now| {
                usage.respond(now, &report("a", 5, 7, 30.0), 1);
            },
            expected: summary(2, 1, 7),
        },
        Step {
            guards: "counting a repeated report twice",
            action: |usage, now| {
                usage.respond(now, &report("a", 5, 7, 30.0), 1);
            },
            expected: summary(2, 1, 7),
        },
        Step {
            guards: "missing a workspace with an empty bucket",
            action: |usage, now| {
                usage.respond(now, &report("b", 20, 0, 5.0), 1);
            },
            expected: summary(2, 2, 7),
        },
        Step {
            guards: "a sum that falls when a workspace is removed",
            action: |usage, now| usage.set_limits(now, &table(&["b", "open"])),
            expected: summary(1, 1, 7),
        },
    ];
    let mut usage = UsageTable::new(1, 1);
    for step in steps {
        (step.action)(&mut usage, START);
        assert_eq!(usage.summary(START), step.expected, "{}", step.guards);
    }
}

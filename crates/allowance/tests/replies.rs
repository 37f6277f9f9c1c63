//! Tests of what an entry concludes from the workspaces that a reply omits, and of large reports.

use mangospindle_allowance::{
    AllowanceLimiter, UsageReply, UsageReport, UsageTable, WorkspaceTotal,
};
use mangospindle_model::{Allowance, Workspace, WorkspaceTable};
use std::collections::BTreeSet;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn table(workspaces: usize) -> WorkspaceTable {
    let workspace = Workspace {
        allowance: Some(Allowance {
            rate: 10.0,
            burst: 10.0,
        }),
        ..Workspace::default()
    };
    WorkspaceTable {
        workspaces: (0..workspaces)
            .map(|n| (format!("w{n:04}"), workspace.clone()))
            .collect(),
        ..WorkspaceTable::default()
    }
}

/// Requests that are admitted at once, out of 20.
fn admitted(limiter: &mut AllowanceLimiter, now: Duration) -> usize {
    let results = (0..20).map(|_| limiter.admit(now, "w0000"));
    results.filter(Result::is_ok).count()
}

/// Guards against a replica without state whose reply lifts the limit of a workspace that is short: it does not
/// list the workspace, because it does not know its level.
#[test]
fn only_complete_replies_say_that_an_omitted_workspace_has_room() {
    struct Case {
        name: &'static str,
        is_complete: bool,
        expected: usize,
    }
    let cases = [
        Case {
            name: "complete",
            is_complete: true,
            expected: 4,
        },
        Case {
            name: "incomplete",
            is_complete: false,
            expected: 0,
        },
    ];
    for case in cases {
        let mut limiter = AllowanceLimiter::new("e".to_string(), 1);
        limiter.set_limits(ms(0), &table(1));
        let short = UsageReply {
            entries: 3,
            is_complete: true,
            workspaces: vec![WorkspaceTotal {
                workspace: "w0000".to_string(),
                offered_rate: 100.0,
                level: Some(-20.0),
            }],
        };
        limiter.apply_reply(ms(10), &UsageReport::default(), &short);
        assert_eq!(admitted(&mut limiter, ms(11)), 0, "{}", case.name);
        let omitted = UsageReply {
            entries: 3,
            is_complete: case.is_complete,
            workspaces: Vec::new(),
        };
        limiter.apply_reply(ms(20), &UsageReport::default(), &omitted);
        assert_eq!(
            admitted(&mut limiter, ms(21)),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against a replica that claims to know all levels right after its start.
#[test]
fn replies_of_a_replica_that_has_just_started_are_incomplete() {
    let mut replica = UsageTable::new(1, 1);
    replica.set_limits(ms(0), &table(1));
    let reply = replica.respond(ms(10), &UsageReport::default(), 3);
    assert!(!reply.is_complete);
    let reply = replica.respond(ms(10_000), &UsageReport::default(), 3);
    assert!(reply.is_complete);
}

/// Guards against workspaces that are never reported because others fill each report.
#[test]
fn all_busy_workspaces_are_reported_in_turn() {
    const WORKSPACES: usize = 700;
    let mut limiter = AllowanceLimiter::new("e".to_string(), 1);
    limiter.set_limits(ms(0), &table(WORKSPACES));
    let mut reported = BTreeSet::new();
    for round in 0..2 {
        let now = ms(300 * round);
        for n in 0..WORKSPACES {
            // Rejections are reported as well.
            let _ = limiter.admit(now, &format!("w{n:04}"));
        }
        let report = limiter.report(now);
        limiter.apply_reply(now, &report, &UsageReply::default());
        reported.extend(report.workspaces.into_iter().map(|usage| usage.workspace));
    }
    assert_eq!(reported.len(), WORKSPACES);
}

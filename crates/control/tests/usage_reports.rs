//! Tests of the usage of allowances that entries and replicas report, with replicas that run as separate
//! processes on loopback.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use mangospindle_allowance::{EntryUsage, PeerUsage, PeerWorkspace, UsageReply, UsageReport};
use mangospindle_fleet::timing::USAGE_INTERVAL;
use mangospindle_harness::wait_until;
use mangospindle_model::{Allowance, RouteTable, Workspace, WorkspaceTable};
use mangospindle_rpc::{ControlClient, ProposeResult};
use mangospindle_state::{Actor, Command, CommandKind, Outcome, RequestId};
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, run_on_actix, wait_for_version};
use tokio::time::sleep;

const WORKSPACE: &str = "a";

/// Burst of the workspace, in requests. Its rate is so low that the level does not rise during a test.
const BURST: f64 = 100.0;

/// Proposes a configuration with the workspace and waits until all clients have it.
async fn put_workspace(clients: &[ControlClient]) {
    let workspace = Workspace {
        allowance: Some(Allowance {
            rate: 1e-6,
            burst: BURST,
        }),
        ..Workspace::default()
    };
    let workspaces = WorkspaceTable {
        workspaces: [(WORKSPACE.to_string(), workspace)].into(),
        ..WorkspaceTable::default()
    };
    let command = Command {
        request: RequestId("put".to_string()),
        actor: Actor::Operator("test".to_string()),
        leader_time_ms: 0,
        kind: CommandKind::PutRoutesAndWorkspaces {
            table: Box::new(RouteTable {
                number: 1,
                ..RouteTable::default()
            }),
            workspaces: Box::new(workspaces),
            document: String::new(),
        },
    };
    let version = match clients[0].propose(&command, WAIT_TIMEOUT).await {
        ProposeResult::Outcome(Outcome::Done { version }) => version,
        other => panic!("{other:?}"),
    };
    for client in clients {
        wait_for_version(client, version).await;
    }
}

fn report(entry: &str, admitted: i64) -> UsageReport {
    let usage = EntryUsage {
        workspace: WORKSPACE.to_string(),
        admitted,
        acknowledged: 0,
        rejected: 3,
        offered_rate: 2.5,
    };
    UsageReport {
        entry: entry.to_string(),
        incarnation: 1,
        workspaces: vec![usage],
    }
}

/// The level in the reply to a report; `None` if there is no reply or the replica does not know the level.
async fn level(client: &ControlClient, report: &UsageReport) -> Option<f32> {
    let reply = client.exchange(&report.encode()).await?;
    let reply = UsageReply::decode(&reply).unwrap();
    assert_eq!(reply.workspaces.len(), 1, "{reply:?}");
    assert!(reply.workspaces[0].offered_rate >= 2.0, "{reply:?}");
    reply.workspaces[0].level
}

/// The level before any usage: the burst, and a few requests for callers that send several at once.
async fn full_level(client: &ControlClient) -> f64 {
    let known = || async { level(client, &report("probe", 0)).await.is_some() };
    wait_until("the level is known", WAIT_TIMEOUT, known)
        .await
        .unwrap();
    let full = f64::from(level(client, &report("probe", 0)).await.unwrap());
    assert!((BURST..=BURST * 1.1).contains(&full), "{full}");
    full
}

/// Waits until the reply to a report has a level.
async fn wait_for_level(client: &ControlClient, report: &UsageReport, expected: f64) {
    let reached = || async {
        let level = level(client, report).await;
        level.is_some_and(|level| (f64::from(level) - expected).abs() < 0.1)
    };
    let what = format!("level {expected} for {}", report.entry);
    wait_until(&what, WAIT_TIMEOUT, reached).await.unwrap();
}

/// Guards against reports that are not answered or are counted twice, and against sums that do not reach the
/// other replicas.
#[test]
fn reports_are_counted_at_all_replicas() {
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        let clients: Vec<ControlClient> = (1..=3).map(|r| cluster.client(&[r])).collect();
        put_workspace(&clients).await;
        // What a replica counted before another one first heard from it is not charged there.
        sleep(USAGE_INTERVAL * 3).await;
        let full = full_level(&clients[0]).await;
        let reports = [report("e", 30), report("f", 5), report("g", 0)];
        for (client, report) in clients.iter().zip(&reports) {
            client.exchange(&report.encode()).await.unwrap();
        }
        for (client, report) in clients.iter().zip(&reports) {
            wait_for_level(client, report, full - 35.0).await;
        }
        wait_for_level(&clients[1], &report("f", 6), full - 36.0).await;
        wait_for_level(&clients[0], &reports[0], full - 36.0).await;
    });
}

/// A message and variants of it that are damaged.
fn damaged(message: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    let truncated = (1..message.len()).map(|end| message[..end].to_vec());
    let long_list = [message[0], 0xff, 0xff, 0xff, 0xff, 0x0f];
    truncated.chain([long_list.to_vec()])
}

/// Guards against a damaged message that ends a replica, is taken for a valid one or changes what is known.
#[test]
fn damaged_messages_are_refused() {
    run_on_actix(async {
        let cluster = ReplicaCluster::start(1).await;
        let client = cluster.client(&[1]);
        put_workspace(std::slice::from_ref(&client)).await;
        let full = full_level(&client).await;
        let valid = report("e", 30);
        wait_for_level(&client, &valid, full - 30.0).await;
        let row = PeerWorkspace {
            workspace: WORKSPACE.to_string(),
            admitted: 20,
            offered_rate: 1.0,
        };
        let usage = PeerUsage {
            replica: 300,
            incarnation: 300,
            workspaces: vec![row],
        };
        for (name, message) in [("report", valid.encode()), ("sum", usage.encode())] {
            for bytes in damaged(&message) {
                let reply = client.exchange(&bytes).await;
                assert_eq!(reply, Some(Vec::new()), "{name}: {bytes:?}");
            }
            let level = level(&client, &valid).await.unwrap();
            assert!(
                (f64::from(level) - (full - 30.0)).abs() < 0.1,
                "{name}: {level}"
            );
        }
    });
}

/// Guards against values that no correct process sends and that end a replica or spoil its sums.
#[test]
fn extreme_values_do_not_spoil_the_sums() {
    run_on_actix(async {
        let cluster = ReplicaCluster::start(1).await;
        let client = cluster.client(&[1]);
        put_workspace(std::slice::from_ref(&client)).await;
        let full = full_level(&client).await;
        let rates = [f32::NAN, f32::INFINITY, -1.0, f32::MAX];
        for (n, admitted) in [i64::MIN, i64::MAX, -1].into_iter().enumerate() {
            for rate in rates {
                let mut sent = report(&format!("e-{n}"), admitted);
                sent.workspaces[0].offered_rate = rate;
                sent.workspaces[0].rejected = u64::MAX;
                let row = PeerWorkspace {
                    workspace: WORKSPACE.to_string(),
                    admitted,
                    offered_rate: rate,
                };
                let usage = PeerUsage {
                    replica: 7,
                    incarnation: 7,
                    workspaces: vec![row],
                };
                assert!(client.exchange(&sent.encode()).await.is_some());
                assert!(client.exchange(&usage.encode()).await.is_some());
                let level = level(&client, &report("other", 1)).await.unwrap();
                assert!(level.is_finite() && f64::from(level) <= full, "{level}");
            }
        }
    });
}

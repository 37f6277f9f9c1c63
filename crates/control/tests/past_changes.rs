//! Tests of control replicas with many large changes, which run as separate processes on loopback.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use futures::future::join_all;
use mangospindle_harness::wait_until;
use mangospindle_model::{EndpointService, Route, RouteKey, RouteTable, RouteTarget};
use mangospindle_rpc::{ControlClient, ProposeResult};
use mangospindle_state::{Actor, Command, CommandKind, Outcome, RequestId};
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, run_on_actix, wait_for_version};
use std::path::Path;
use std::time::Duration;
use tokio::time::sleep;

/// Routes of a table. An exported record of a change of all of them has about 0.9 MB.
const ROUTES: usize = 2_000;

/// Changes proposed at a time, so that they are committed together. Their records do not fit into the
/// audit trail in memory.
const BATCH: u64 = 30;

/// Limits, in bytes: the exported files, the log in memory, and a snapshot.
const MAX_AUDIT_FILE_BYTES: u64 = 64 << 20;
const MAX_LOG_BYTES: f64 = (24 << 20) as f64;
const MAX_SNAPSHOT_BYTES: f64 = (6 << 20) as f64;

/// Returns a command that changes all routes.
fn put_routes(number: u64) -> Command {
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 330,
        cold_start: Duration::from_secs(3),
        cold_rate: 5.0,
    };
    let route = |n: usize| Route {
        name: format!("r-{n:05}"),
        idempotent: true,
        timeout: Some(Duration::from_millis(2_000 + number)),
        target_latency: Duration::from_millis(400),
        attempts: 2,
        priority: 1,
        targets: vec![RouteTarget {
            service: "s".to_string(),
            weight: 1,
        }],
        sticky: true,
        home_regions: Vec::new(),
    };
    let key = |n: usize| RouteKey {
        host: "shop.example".to_string(),
        prefix: format!("/p{n:05}/"),
    };
    let table = RouteTable {
        number,
        services: [("s".to_string(), service)].into(),
        routes: (0..ROUTES).map(|n| (key(n), route(n))).collect(),
        ..RouteTable::default()
    };
    Command {
        request: RequestId(format!("routes-{number}")),
        actor: Actor::Operator("test".to_string()),
        leader_time_ms: 0,
        kind: CommandKind::PutRoutes {
            table: Box::new(table),
            document: "x".repeat(100 * ROUTES),
        },
    }
}

/// Proposes changes at the same time and returns the version after them. A change that another one has
/// overtaken has no effect.
async fn commit(client: &ControlClient, numbers: std::ops::RangeInclusive<u64>) -> u64 {
    let proposals = numbers.map(|number| async move {
        loop {
            match client.propose(&put_routes(number), WAIT_TIMEOUT).await {
                ProposeResult::Outcome(Outcome::Done { version }) => return version,
                ProposeResult::Outcome(other) => panic!("change {number}: {other:?}"),
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    });
    join_all(proposals).await.into_iter().max().unwrap()
}

/// Size of the exported files in bytes, and the sequence numbers of their records in order.
fn exported(data_dir: &Path) -> (u64, Vec<u64>) {
    let mut paths: Vec<_> = (std::fs::read_dir(data_dir).unwrap())
        .map(|entry| entry.unwrap().path())
        .filter(|p| p.extension().is_some_and(|e| e == "jsonl"))
        .collect();
    // `audit.jsonl` holds the newest records.
    paths.sort_by_key(|p| (p.ends_with("audit.jsonl"), p.clone()));
    let texts: Vec<String> = (paths.iter())
        .map(|p| std::fs::read_to_string(p).unwrap())
        .collect();
    let bytes = texts.iter().map(|t| t.len() as u64).sum();
    let sequence = |line: &str| {
        let record: serde_json::Value = serde_json::from_str(line).ok()?;
        record["sequence"].as_u64()
    };
    let lines = texts.iter().flat_map(|t| t.lines());
    (bytes, lines.filter_map(sequence).collect())
}

/// Guards against replicas whose disk or memory fills up with past changes: exported audit records that
/// stay for good, a log that is limited by the number of its entries, and records that are evicted
/// before they are exported. The limits hold after a restart and for a replica that starts empty.
#[test]
fn large_changes_fill_neither_disk_nor_memory() {
    run_on_actix(async {
        let mut cluster = ReplicaCluster::start(3).await;
        let client = cluster.client(&cluster.all());
        let mut version = 0;
        for round in 0..4 {
            version = commit(&client, round * BATCH + 1..=(round + 1) * BATCH).await;
            let restarted = cluster.follower().await;
            cluster.kill(restarted);
            if round == 2 {
                cluster.delete_data(restarted);
            }
            cluster.start_replica(restarted);
            for replica in cluster.all() {
                wait_for_version(&cluster.client(&[replica]), version).await;
            }
        }
        for replica in cluster.all() {
            let is_below = |limit: f64| move |v: f64| v > 0.0 && v <= limit;
            let check = async |name: &str, limit: f64| {
                let value = cluster.metric(replica, name).await.unwrap();
                assert!(
                    is_below(limit)(value),
                    "{name} of replica {replica}: {value}"
                );
            };
            check("log_bytes", MAX_LOG_BYTES).await;
            check("snapshot_bytes", MAX_SNAPSHOT_BYTES).await;
            check("audit_trail_bytes", (4 << 20) as f64).await;
            check("audit_file_bytes", MAX_AUDIT_FILE_BYTES as f64).await;
            let data_dir = cluster.data_dir(replica);
            let is_exported = || async { exported(&data_dir).1.last() == Some(&version) };
            let what = format!("the newest record at replica {replica}");
            wait_until(&what, WAIT_TIMEOUT, is_exported).await.unwrap();
            let (bytes, sequences) = exported(&data_dir);
            println!(
                "replica {replica}: {bytes} bytes, {} records of {version}",
                sequences.len()
            );
            assert!(
                bytes <= MAX_AUDIT_FILE_BYTES,
                "replica {replica}: {bytes} bytes"
            );
            let is_complete = sequences.windows(2).all(|w| w[1] == w[0] + 1);
            let log = cluster.log(replica);
            assert!(is_complete || log.contains("audit_gap"), "{sequences:?}");
        }
    });
}

//! Tests of control replicas that run as separate processes on loopback.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[path = "support/commands.rs"]
mod commands;
#[path = "support/proposers.rs"]
mod proposers;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use commands::{claim, claim_key};
use mangospindle_rpc::{CUT_OFF_AGE, ProposeResult, QueryResult};
use mangospindle_state::{ClaimOutcome, Outcome};
use nix::sys::signal::Signal;
use proposers::Proposers;
use replica_cluster::{
    ReplicaCluster, WAIT_TIMEOUT, commit_changes, run_on_actix, wait_for_version,
};
use std::time::Duration;
use tokio::time::sleep;

/// Guards against lost accepted claims, and against claims that are in a log although they were
/// reported as not accepted, when the leader is killed, frozen or stopped gracefully under load.
#[test]
fn accepted_claims_survive_leader_faults() {
    enum Fault {
        Kill,
        Freeze,
        Terminate,
    }
    struct Case {
        replicas: u16,
        fault: Fault,
    }
    let case = |replicas, fault| Case { replicas, fault };
    let cases = [
        case(3, Fault::Kill),
        case(3, Fault::Freeze),
        case(3, Fault::Terminate),
        case(5, Fault::Kill),
        case(5, Fault::Terminate),
    ];
    run_on_actix(async {
        for Case {
            replicas: count,
            fault,
        } in cases
        {
            let mut cluster = ReplicaCluster::start(count).await;
            let old_leader = cluster.leader().await;
            let mut order = cluster.all();
            let mut clients = Vec::new();
            for _ in 0..count {
                order.rotate_left(1);
                clients.push(cluster.client(&order));
            }
            cluster.join_entry(&clients[0]).await;
            let proposers = Proposers::start(&cluster, &clients, 16);
            sleep(Duration::from_secs(1)).await;
            let before = proposers.accepted();
            let name = match fault {
                Fault::Kill => {
                    cluster.kill(old_leader);
                    "kill"
                }
                Fault::Freeze => {
                    cluster.signal(old_leader, Signal::SIGSTOP);
                    "freeze"
                }
                Fault::Terminate => {
                    assert_eq!(cluster.terminate(old_leader).await, Some(0), "exit code");
                    "terminate"
                }
            };
            let at_fault = proposers.accepted();
            while proposers.accepted() < at_fault + before / 2 {
                sleep(Duration::from_millis(20)).await;
            }
            match fault {
                Fault::Freeze => cluster.signal(old_leader, Signal::SIGCONT),
                Fault::Kill | Fault::Terminate => cluster.start_replica(old_leader),
            }
            sleep(Duration::from_millis(500)).await;
            let results = proposers.finish().await;
            println!(
                "{count} replicas, {name}: {} accepted ({before} before), {} not accepted, {} \
                 unknown, longest gap {:?}",
                results.accepted.len(),
                results.not_accepted.len(),
                results.unknown.len(),
                results.longest_gap,
            );
            assert!(before > 0);
            for replica in cluster.all() {
                results.assert_visible_at(&cluster, replica).await;
            }
        }
    });
}

/// Guards against a former leader that resumes and answers queries from stale state as if it were
/// current.
#[test]
fn resumed_leader_does_not_report_stale_state_as_current() {
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        let old_leader = cluster.leader().await;
        let others: Vec<u16> = cluster
            .all()
            .into_iter()
            .filter(|r| *r != old_leader)
            .collect();
        let old_leader_client = cluster.client(&[old_leader]);
        let others_client = cluster.client(&others);
        cluster.join_entry(&others_client).await;
        wait_for_version(
            &old_leader_client,
            commit_changes(&others_client, 1..2).await,
        )
        .await;
        for round in 0..5 {
            cluster.signal(old_leader, Signal::SIGSTOP);
            let version = commit_changes(&others_client, 2 + round..3 + round).await;
            let granted = others_client.propose(&claim(round), WAIT_TIMEOUT).await;
            let expected = ProposeResult::Outcome(Outcome::Claim(ClaimOutcome::Granted));
            assert_eq!(granted, expected);
            let committed_at = cluster.now();
            // The query is queued at the frozen process, which reads it first when it resumes.
            let queried_key = claim_key(round);
            let (answer, ()) = tokio::join!(
                old_leader_client.query_claim(&queried_key, WAIT_TIMEOUT),
                async {
                    sleep(Duration::from_millis(300)).await;
                    cluster.signal(old_leader, Signal::SIGCONT);
                }
            );
            let stale = QueryResult::Answer(ClaimOutcome::NotFound);
            assert_ne!(answer, stale, "round {round}");
            while old_leader_client.view().config.version < version {
                let view = old_leader_client.view();
                let confirmed = view.confirmed_at.is_some_and(|at| at > committed_at);
                assert!(
                    !confirmed,
                    "round {round}: confirmed a view without version {version}"
                );
                sleep(Duration::from_millis(1)).await;
            }
        }
    });
}

/// Guards against a replica that cannot catch up after the leader has compacted its log, and
/// against a cluster that does not recover from its disks.
#[test]
fn restarted_replica_catches_up_from_snapshot_and_log() {
    run_on_actix(async {
        let mut cluster = ReplicaCluster::start(3).await;
        let client = cluster.client(&cluster.all());
        commit_changes(&client, 1..21).await;
        let restarted = cluster.follower().await;
        cluster.kill(restarted);
        commit_changes(&client, 21..321).await;
        cluster.start_replica(restarted);
        wait_for_version(&cluster.client(&[restarted]), 321).await;
        assert!(cluster.log(restarted).contains("snapshot_installed"));
        commit_changes(&client, 321..331).await;
        for replica in cluster.all() {
            cluster.kill(replica);
        }
        for replica in cluster.all() {
            cluster.start_replica(replica);
        }
        for replica in cluster.all() {
            wait_for_version(&cluster.client(&[replica]), 331).await;
        }
    });
}

/// Guards against a replica that votes under its old identity after losing its data, or that never
/// counts towards the quorum again. In the second case, further losses stop the cluster.
#[test]
fn replica_without_data_rejoins_before_further_losses() {
    run_on_actix(async {
        for count in [3, 5] {
            let mut cluster = ReplicaCluster::start(count).await;
            let client = cluster.client(&cluster.all());
            commit_changes(&client, 1..11).await;
            let lost = cluster.leader().await;
            cluster.kill(lost);
            cluster.delete_data(lost);
            cluster.start_replica(lost);
            cluster
                .wait_for_metric(lost, "role", |role| role >= 1.0)
                .await;
            cluster
                .wait_for_metric(lost, "version", |v| v >= 11.0)
                .await;
            // Kill as many replicas as a full cluster tolerates.
            for _ in 0..count / 2 {
                let next = cluster
                    .all()
                    .into_iter()
                    .rfind(|r| *r != lost && cluster.is_running(*r));
                cluster.kill(next.unwrap());
            }
            commit_changes(&client, 11..21).await;
            wait_for_version(&cluster.client(&[lost]), 21).await;
        }
    });
}

/// Guards against replicas that accept proposals or confirm state without a majority.
#[test]
fn minority_accepts_and_confirms_nothing() {
    run_on_actix(async {
        for count in [3, 5] {
            let mut cluster = ReplicaCluster::start(count).await;
            let client = cluster.client(&cluster.all());
            commit_changes(&client, 1..4).await;
            for _ in 0..=count / 2 {
                let leader = cluster.leader_or_any().await;
                cluster.kill(leader);
            }
            let remaining: Vec<u16> = cluster
                .all()
                .into_iter()
                .filter(|r| cluster.is_running(*r))
                .collect();
            sleep(CUT_OFF_AGE).await;
            for replica in &remaining {
                cluster
                    .wait_for_metric(*replica, "cut_off", |c| c == 1.0)
                    .await;
                let client = cluster.client(&[*replica]);
                let time = Duration::from_secs(3);
                let result = client.propose(&claim(1), time).await;
                assert_eq!(result, ProposeResult::NotAccepted);
                assert_eq!(
                    client.query_claim(&claim_key(1), time).await,
                    QueryResult::Unconfirmed
                );
                let age = client.view().confirmed_age(cluster.now());
                assert!(age.is_none_or(|age| age > CUT_OFF_AGE), "{age:?}");
            }
            cluster.start_stopped();
            commit_changes(&client, 4..8).await;
        }
    });
}

/// Guards against missing, repeated or unordered audit records in the exported file after processes
/// were killed.
#[test]
fn audit_records_are_exported_once_and_in_order() {
    run_on_actix(async {
        let mut cluster = ReplicaCluster::start(3).await;
        let client = cluster.client(&cluster.all());
        for round in 0..3 {
            commit_changes(&client, round * 30 + 1..round * 30 + 31).await;
            let killed = cluster.leader().await;
            cluster.kill(killed);
            // Append incomplete data that a crash can leave after the last synced record.
            let path = cluster.data_dir(killed).join("audit.jsonl");
            let mut text = std::fs::read_to_string(&path).unwrap();
            text.push_str(["{\"sequence\":", "\0\0\n\0", "}\n\n"][round as usize]);
            std::fs::write(&path, text).unwrap();
            cluster.start_replica(killed);
        }
        for replica in cluster.all() {
            wait_for_version(&cluster.client(&[replica]), 91).await;
            let path = cluster.data_dir(replica).join("audit.jsonl");
            let sequences = || -> Vec<u64> {
                let text = std::fs::read_to_string(&path).unwrap();
                let record = |l: &str| serde_json::from_str::<serde_json::Value>(l).unwrap();
                (text
                    .lines()
                    .map(|l| record(l)["sequence"].as_u64().unwrap()))
                .collect()
            };
            while sequences().len() < 91 {
                sleep(Duration::from_millis(20)).await;
            }
            assert_eq!(
                sequences(),
                (1..=91).collect::<Vec<_>>(),
                "replica {replica}"
            );
        }
    });
}

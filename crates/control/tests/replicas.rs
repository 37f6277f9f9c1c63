//! Control replicas as real processes on loopback.
//!
//! The binary `mangospindle-control` must be built before; `cargo test --workspace` does so.

#![allow(clippy::unwrap_used)] // Helpers outside test functions fail the test.

#[path = "support/commands.rs"]
mod commands;
#[path = "support/proposers.rs"]
mod proposers;
#[allow(dead_code)] // Shared by test crates that use different parts of it.
#[path = "support/replicas.rs"]
mod replicas;

use commands::{change, claim, key};
use mangospindle_rpc::{CUT_OFF_AGE, ControlClient, ProposeResult, QueryResult};
use mangospindle_state::{ClaimOutcome, Outcome};
use nix::sys::signal::Signal;
use proposers::Proposers;
use replicas::{LIMIT, Replicas};
use std::time::Duration;
use tokio::time::sleep;

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

/// Commits changes and returns the version after the last one.
async fn commit_changes(client: &ControlClient, numbers: std::ops::Range<u64>) -> u64 {
    let mut version = 0;
    for number in numbers {
        let mut result = ProposeResult::Unknown;
        // A resend of the same request gets the first result.
        while result == ProposeResult::Unknown {
            result = client.propose(&change(number), LIMIT).await;
        }
        match result {
            ProposeResult::Outcome(Outcome::Done { version: v }) => version = v,
            other => panic!("change {number}: {other:?}"),
        }
    }
    version
}

async fn wait_version(client: &ControlClient, version: u64) {
    let mut views = client.subscribe();
    let reached = views.wait_for(|view| view.config.version >= version);
    tokio::time::timeout(LIMIT, reached).await.unwrap().unwrap();
}

/// Guards against accepted claims that are lost, and claims reported as in no log that are in one,
/// when the leader dies, freezes or stops gracefully under load.
#[test]
fn accepted_claims_survive_the_leader() {
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
    run(async {
        for Case {
            replicas: count,
            fault,
        } in cases
        {
            let mut replicas = Replicas::start(count).await;
            let old = replicas.leader().await;
            let mut order = replicas.all();
            let mut clients = Vec::new();
            for _ in 0..count {
                order.rotate_left(1);
                clients.push(replicas.client(&order));
            }
            replicas.join(&clients[0]).await;
            let proposers = Proposers::start(&replicas, &clients, 16);
            sleep(Duration::from_secs(1)).await;
            let before = proposers.accepted();
            let name = match fault {
                Fault::Kill => {
                    replicas.kill(old);
                    "kill"
                }
                Fault::Freeze => {
                    replicas.signal(old, Signal::SIGSTOP);
                    "freeze"
                }
                Fault::Terminate => {
                    assert_eq!(replicas.terminate(old).await, Some(0), "exit code");
                    "terminate"
                }
            };
            let at_fault = proposers.accepted();
            while proposers.accepted() < at_fault + before / 2 {
                sleep(Duration::from_millis(20)).await;
            }
            match fault {
                Fault::Freeze => replicas.signal(old, Signal::SIGCONT),
                Fault::Kill | Fault::Terminate => replicas.start_replica(old),
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
            for replica in replicas.all() {
                results.check(&replicas, replica).await;
            }
        }
    });
}

/// Guards against a former leader that resumes and answers from its old state as if it were
/// current.
#[test]
fn a_resumed_leader_answers_nothing_old_as_current() {
    run(async {
        let replicas = Replicas::start(3).await;
        let old = replicas.leader().await;
        let others: Vec<u16> = replicas.all().into_iter().filter(|r| *r != old).collect();
        let at_old = replicas.client(&[old]);
        let elsewhere = replicas.client(&others);
        replicas.join(&elsewhere).await;
        wait_version(&at_old, commit_changes(&elsewhere, 1..2).await).await;
        for round in 0..5 {
            replicas.signal(old, Signal::SIGSTOP);
            let version = commit_changes(&elsewhere, 2 + round..3 + round).await;
            let granted = elsewhere.propose(&claim(round), LIMIT).await;
            let expected = ProposeResult::Outcome(Outcome::Claim(ClaimOutcome::Granted));
            assert_eq!(granted, expected);
            let committed_at = replicas.now();
            // The question waits in the frozen process and is the first thing that it reads.
            let question = key(round);
            let (answer, ()) = tokio::join!(at_old.query_claim(&question, LIMIT), async {
                sleep(Duration::from_millis(300)).await;
                replicas.signal(old, Signal::SIGCONT);
            });
            let wrong = QueryResult::Answer(ClaimOutcome::NotFound);
            assert_ne!(answer, wrong, "round {round}");
            while at_old.view().config.version < version {
                let view = at_old.view();
                let confirmed = view.confirmed_at.is_some_and(|at| at > committed_at);
                assert!(!confirmed, "round {round}: {version} is missing");
                sleep(Duration::from_millis(1)).await;
            }
        }
    });
}

/// Guards against a replica that cannot catch up after the leader has compacted its log, and
/// against a cluster that does not come back from its disks.
#[test]
fn a_restarted_replica_catches_up_by_snapshot_and_log() {
    run(async {
        let mut replicas = Replicas::start(3).await;
        let client = replicas.client(&replicas.all());
        commit_changes(&client, 1..21).await;
        let away = replicas.follower().await;
        replicas.kill(away);
        commit_changes(&client, 21..321).await;
        replicas.start_replica(away);
        wait_version(&replicas.client(&[away]), 321).await;
        assert!(replicas.log(away).contains("snapshot_installed"));
        commit_changes(&client, 321..331).await;
        for replica in replicas.all() {
            replicas.kill(replica);
        }
        for replica in replicas.all() {
            replicas.start_replica(replica);
        }
        for replica in replicas.all() {
            wait_version(&replicas.client(&[replica]), 331).await;
        }
    });
}

/// Guards against a replica without its data that votes under its old identity or never counts
/// again, so that a second loss after the repair stops the cluster.
#[test]
fn a_lost_data_directory_is_repaired_before_a_second_loss() {
    run(async {
        for count in [3, 5] {
            let mut replicas = Replicas::start(count).await;
            let client = replicas.client(&replicas.all());
            commit_changes(&client, 1..11).await;
            let lost = replicas.leader().await;
            replicas.kill(lost);
            replicas.lose_data(lost);
            replicas.start_replica(lost);
            replicas.wait_metric(lost, "role", |role| role >= 1.0).await;
            replicas.wait_metric(lost, "version", |v| v >= 11.0).await;
            // As many further losses as a full cluster survives.
            for _ in 0..count / 2 {
                let next = replicas
                    .all()
                    .into_iter()
                    .rfind(|r| *r != lost && replicas.runs(*r));
                replicas.kill(next.unwrap());
            }
            commit_changes(&client, 11..21).await;
            wait_version(&replicas.client(&[lost]), 21).await;
        }
    });
}

/// Guards against replicas that accept or confirm anything without a majority.
#[test]
fn without_a_majority_nothing_is_accepted_or_confirmed() {
    run(async {
        for count in [3, 5] {
            let mut replicas = Replicas::start(count).await;
            let client = replicas.client(&replicas.all());
            commit_changes(&client, 1..4).await;
            for _ in 0..=count / 2 {
                let leader = replicas.leader_or_any().await;
                replicas.kill(leader);
            }
            let left: Vec<u16> = replicas
                .all()
                .into_iter()
                .filter(|r| replicas.runs(*r))
                .collect();
            sleep(CUT_OFF_AGE).await;
            for replica in &left {
                replicas
                    .wait_metric(*replica, "cut_off", |c| c == 1.0)
                    .await;
                let client = replicas.client(&[*replica]);
                let time = Duration::from_secs(3);
                let result = client.propose(&claim(1), time).await;
                assert_eq!(result, ProposeResult::NotAccepted);
                assert_eq!(
                    client.query_claim(&key(1), time).await,
                    QueryResult::Unconfirmed
                );
                let age = client.view().confirmed_age(replicas.now());
                assert!(age.is_none_or(|age| age > CUT_OFF_AGE), "{age:?}");
            }
            replicas.start_missing();
            commit_changes(&client, 4..8).await;
        }
    });
}

/// Guards against audit records that are missing, repeated or out of order in the exported file
/// after processes were killed.
#[test]
fn the_audit_trail_is_exported_once_and_in_order() {
    run(async {
        let mut replicas = Replicas::start(3).await;
        let client = replicas.client(&replicas.all());
        for round in 0..3 {
            commit_changes(&client, round * 30 + 1..round * 30 + 31).await;
            let killed = replicas.leader().await;
            replicas.kill(killed);
            // A line that a crash cut off.
            let path = replicas.data_dir(killed).join("audit.jsonl");
            let mut text = std::fs::read_to_string(&path).unwrap();
            text.push_str("{\"sequence\":");
            std::fs::write(&path, text).unwrap();
            replicas.start_replica(killed);
        }
        for replica in replicas.all() {
            wait_version(&replicas.client(&[replica]), 91).await;
            let path = replicas.data_dir(replica).join("audit.jsonl");
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

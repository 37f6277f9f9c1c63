//! Tests of control replicas with a failing disk and with the platform's VM list.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use actix_web::{App, HttpResponse, HttpServer, web};
use commands::{change, claim_key};
use mangospindle_control::MIN_ABSENT_TIME;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::EntryStatus;
use replica_cluster::{
    ReplicaCluster, WAIT_TIMEOUT, commit_changes, run_on_actix, wait_for_version,
};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Guards against a replica that continues to lead or to accept changes while its disk fails, against
/// accepted changes that were not written, and against a replica that stays out of service although its
/// disk works again.
#[test]
fn replica_with_failed_disk_stops_participating_until_it_works() {
    run_on_actix(async {
        let mut cluster = ReplicaCluster::start(3).await;
        let client = cluster.client(&cluster.all());
        commit_changes(&client, 1..11).await;
        let failing = cluster.leader().await;
        // The next snapshot is written to a device that is always full.
        let temporary = cluster.data_dir(failing).join("temporary");
        std::os::unix::fs::symlink("/dev/full", &temporary).unwrap();
        let version = commit_changes(&client, 11..400).await;
        cluster
            .wait_for_metric(failing, "disk_failed", |f| f == 1.0)
            .await;
        cluster
            .wait_for_metric(failing, "cut_off", |c| c == 1.0)
            .await;
        assert!(cluster.log(failing).contains("disk_failed"));
        let failed_client = cluster.client(&[failing]);
        let request_timeout = Duration::from_secs(1);
        assert_eq!(
            failed_client.propose(&change(400), request_timeout).await,
            ProposeResult::NotAccepted
        );
        assert_eq!(
            failed_client
                .query_claim(&claim_key(1), request_timeout)
                .await,
            QueryResult::Unconfirmed
        );
        assert_ne!(cluster.leader().await, failing);
        std::fs::remove_file(&temporary).unwrap();
        cluster
            .wait_for_metric(failing, "disk_failed", |f| f == 0.0)
            .await;
        wait_for_version(&failed_client, version).await;
        // It stores again what it acknowledges.
        let version = commit_changes(&failed_client, 400..410).await;
        cluster.kill(failing);
        cluster.start_replica(failing);
        wait_for_version(&cluster.client(&[failing]), version).await;
    });
}

/// Guards against a majority that is lost for good because the disks of several replicas were full one
/// after the other, or the same disk more than once.
#[test]
fn disks_that_are_full_in_turn_do_not_stop_the_cluster() {
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        let client = cluster.client(&cluster.all());
        let mut next = 1;
        for round in 0..4 {
            let failing = cluster.leader().await;
            let temporary = cluster.data_dir(failing).join("temporary");
            std::os::unix::fs::symlink("/dev/full", &temporary).unwrap();
            let mut version = 0;
            while cluster.metric(failing, "disk_failed").await != Some(1.0) {
                // A snapshot is due after a number of changes that grows with the state.
                assert!(next < 20_000, "the disk of replica {failing} was not used");
                version = commit_changes(&client, next..next + 100).await;
                next += 100;
            }
            std::fs::remove_file(&temporary).unwrap();
            cluster
                .wait_for_metric(failing, "disk_failed", |f| f == 0.0)
                .await;
            wait_for_version(&cluster.client(&[failing]), version).await;
            println!("round {round}: replica {failing} returned");
        }
    });
}

/// Guards against a VM that is missing from the platform's list but is not fenced, so that its
/// endpoints stay without an owner. Also guards against fencing because of a partial list.
#[test]
fn vm_missing_from_the_list_is_fenced() {
    run_on_actix(async {
        // The order is reversed, so that entry 0, which has joined, is the last name.
        let names = |count: usize| -> Vec<String> {
            let text = include_str!("../../../examples/cantabrica/deployment.jsonc");
            let deployment = mangospindle_settings::Deployment::parse("example", text).unwrap();
            let entries = deployment.topology.entries.into_iter().map(|e| e.name);
            entries.rev().take(count).collect()
        };
        let all = names(usize::MAX);
        let listed = Arc::new(Mutex::new(all.clone()));
        let served = Arc::clone(&listed);
        let server = HttpServer::new(move || {
            let served = Arc::clone(&served);
            let list = move || {
                let vm = |name: &String| json!({"name": name, "state": "live"});
                let vms: Vec<_> = served.lock().unwrap().iter().map(vm).collect();
                std::future::ready(HttpResponse::Ok().json(json!({"vms": vms})))
            };
            App::new().route("/vms", web::get().to(list))
        })
        .workers(1)
        .bind("127.0.0.1:0")
        .unwrap();
        let address = server.addrs()[0];
        actix_rt::spawn(server.run());
        let cluster =
            ReplicaCluster::start_with_vm_list(3, Some(format!("http://{address}/vms"))).await;
        let client = cluster.client(&cluster.all());
        cluster.join_entry(&client).await;
        let is_fenced = || client.view().config.entry_status[0] == EntryStatus::Fenced;
        sleep(Duration::from_secs(3)).await;
        *listed.lock().unwrap() = names(2);
        sleep(MIN_ABSENT_TIME + Duration::from_secs(3)).await;
        assert!(!is_fenced(), "fenced on a partial list");
        let dropped_at = cluster.now();
        *listed.lock().unwrap() = names(all.len() - 1);
        let mut views = client.subscribe();
        let fenced = views.wait_for(|v| v.config.entry_status[0] == EntryStatus::Fenced);
        tokio::time::timeout(WAIT_TIMEOUT, fenced)
            .await
            .unwrap()
            .unwrap();
        assert!(cluster.now() - dropped_at >= MIN_ABSENT_TIME);
    });
}

//! Control replicas with a failing disk and with the platform's VM list.
//!
//! The binary `mangospindle-control` must be built before; `cargo test --workspace` does so.

#![allow(clippy::unwrap_used)] // Helpers outside test functions fail the test.

#[allow(dead_code)] // Shared by test crates that use different parts of it.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Shared by test crates that use different parts of it.
#[path = "support/replicas.rs"]
mod replicas;

use actix_web::{App, HttpResponse, HttpServer, web};
use commands::{change, key};
use mangospindle_control::MIN_ABSENT_TIME;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::EntryStatus;
use replicas::{LIMIT, Replicas, commit_changes, run, wait_version};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Guards against a replica that goes on leading or accepting after its disk has failed, and
/// against accepted changes that were not written.
#[test]
fn a_failed_disk_ends_the_part_of_the_replica() {
    run(async {
        let mut replicas = Replicas::start(3).await;
        let client = replicas.client(&replicas.all());
        commit_changes(&client, 1..11).await;
        let failing = replicas.leader().await;
        // The next snapshot goes to a device that is always full.
        let temporary = replicas.data_dir(failing).join("temporary");
        std::os::unix::fs::symlink("/dev/full", temporary).unwrap();
        let version = commit_changes(&client, 11..400).await;
        replicas
            .wait_metric(failing, "disk_failed", |f| f == 1.0)
            .await;
        replicas.wait_metric(failing, "cut_off", |c| c == 1.0).await;
        assert!(replicas.log(failing).contains("disk_failed"));
        let at_failed = replicas.client(&[failing]);
        let time = Duration::from_secs(1);
        assert_eq!(
            at_failed.propose(&change(400), time).await,
            ProposeResult::NotAccepted
        );
        assert_eq!(
            at_failed.query_claim(&key(1), time).await,
            QueryResult::Unconfirmed
        );
        assert_ne!(replicas.leader().await, failing);
        replicas.kill(failing);
        replicas.start_replica(failing);
        wait_version(&replicas.client(&[failing]), version).await;
    });
}

/// Guards against a VM that the platform dropped but whose endpoints stay without an owner, and
/// against fencing on a partial list.
#[test]
fn a_vm_that_the_platform_drops_is_fenced() {
    run(async {
        // Entry 0, which has joined, is the last name.
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
        let replicas = Replicas::start_with(3, Some(format!("http://{address}/vms"))).await;
        let client = replicas.client(&replicas.all());
        replicas.join(&client).await;
        let fenced = || client.view().config.entry_status[0] == EntryStatus::Fenced;
        sleep(Duration::from_secs(3)).await;
        *listed.lock().unwrap() = names(2);
        sleep(MIN_ABSENT_TIME + Duration::from_secs(3)).await;
        assert!(!fenced(), "fenced on a partial list");
        let dropped_at = replicas.now();
        *listed.lock().unwrap() = names(all.len() - 1);
        let mut views = client.subscribe();
        let done = views.wait_for(|v| v.config.entry_status[0] == EntryStatus::Fenced);
        tokio::time::timeout(LIMIT, done).await.unwrap().unwrap();
        assert!(replicas.now() - dropped_at >= MIN_ABSENT_TIME);
    });
}

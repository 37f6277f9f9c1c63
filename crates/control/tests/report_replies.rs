//! Tests of the replies of a control replica to restart reports.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use mangospindle_fleet::timing::REPORTS_VALID_TIME;
use mangospindle_fleet::{ReportReply, ReportRequest};
use nix::sys::signal::Signal;
use replica_cluster::{ReplicaCluster, run_on_actix, wait_for_version};
use tokio::time::sleep;

/// Guards against replies to reports that grow with the number of recent reports, which are sent often
/// when many endpoints are lost.
#[test]
fn replies_to_reports_do_not_repeat_the_recent_ones() {
    const LOST_ENDPOINTS: usize = 300;
    const MAX_REPLY_BYTES: usize = 64;
    run_on_actix(async {
        let cluster = ReplicaCluster::start(1).await;
        let client = cluster.client(&[1]);
        wait_for_version(&client, 1).await;
        let report = |instances: Vec<String>| {
            let request = ReportRequest {
                reports: instances,
                pass_on: true,
                ..ReportRequest::default()
            };
            request.encode()
        };
        let lost = (0..LOST_ENDPOINTS).map(|n| format!("i-{n}")).collect();
        client.exchange(&report(lost)).await.unwrap();
        let another = report(vec!["i-another".to_string()]);
        let reply = client.exchange(&another).await.unwrap();
        assert!(reply.len() <= MAX_REPLY_BYTES, "{} bytes", reply.len());
    });
}

/// Guards against a replica that hears of no report of the others, and tells its entries that there are none.
#[test]
fn replicas_without_the_others_do_not_call_their_reports_complete() {
    struct Case {
        name: &'static str,
        is_leader: bool,
    }
    let cases = [
        Case {
            name: "leader",
            is_leader: true,
        },
        Case {
            name: "follower",
            is_leader: false,
        },
    ];
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        for case in cases {
            let replica = match case.is_leader {
                true => cluster.leader().await,
                false => cluster.follower().await,
            };
            let client = cluster.client(&[replica]);
            wait_for_version(&client, 1).await;
            let others = || cluster.all().into_iter().filter(|r| *r != replica);
            others().for_each(|other| cluster.signal(other, Signal::SIGSTOP));
            sleep(REPORTS_VALID_TIME).await;
            let reply = client.exchange(&ReportRequest::default().encode()).await;
            others().for_each(|other| cluster.signal(other, Signal::SIGCONT));
            // A client leaves a replica that is cut off, and then gets no reply that says so.
            let reply = reply.map(|r| ReportReply::decode(&r).unwrap());
            assert!(reply.is_none_or(|r| !r.complete), "{}", case.name);
        }
    });
}

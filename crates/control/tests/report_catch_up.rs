//! Tests of replicas that have lost their restart reports, with replicas that run as separate processes on
//! loopback.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_without_reports.rs"]
mod replica_without_reports;

use futures::future::join_all;
use mangospindle_fleet::{FollowReports, ReportReply, ReportRequest};
use mangospindle_rpc::{PeerLink, TrafficCounters};
use nix::sys::signal::Signal;
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, run_on_actix};
use replica_without_reports::ReplicaWithoutReports;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which a report matters.
const RETENTION: Duration = Duration::from_secs(10);

/// Time within which a replica catches up from another one. Well below the retention time.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// Time within which a replica holds all reports if no other one does: the retention time, an election and some load.
const EXPIRY_TIME: Duration = Duration::from_secs(16);

/// Time for which a replica runs without the others.
const ALONE: Duration = Duration::from_secs(2);

const INSTANCE: &str = "i-1";

/// A connection that is kept while its replica is cut off, unlike a client.
fn link(cluster: &ReplicaCluster, replica: u16) -> PeerLink {
    let address = cluster.rpc_address(replica);
    PeerLink::start(address, cluster.clock(), TrafficCounters::default())
}

async fn reports(link: &PeerLink) -> Option<ReportReply> {
    let request = ReportRequest {
        follow: Some(FollowReports::default()),
        ..ReportRequest::default()
    };
    let reply = link.exchange(&request.encode()).await?;
    Some(ReportReply::decode(&reply).unwrap())
}

/// Waits until a replica claims to hold all reports, and returns that reply.
async fn wait_until_complete(link: &PeerLink) -> ReportReply {
    let complete = async {
        loop {
            match reports(link).await {
                Some(reply) if reply.complete => return reply,
                Some(_) | None => sleep(Duration::from_millis(20)).await,
            }
        }
    };
    let reply = tokio::time::timeout(WAIT_TIMEOUT, complete).await;
    reply.expect("the reports become complete")
}

/// Sends a report to a replica and waits until all others have it.
async fn spread_report(cluster: &ReplicaCluster) {
    let links: Vec<PeerLink> = cluster.all().iter().map(|r| link(cluster, *r)).collect();
    for link in &links {
        wait_until_complete(link).await;
    }
    let request = ReportRequest {
        reports: vec![INSTANCE.to_string()],
        pass_on: true,
        ..ReportRequest::default()
    };
    links[0].exchange(&request.encode()).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    for link in &links {
        assert_eq!(wait_until_complete(link).await.reports, [INSTANCE]);
    }
}

/// Guards against a replica that has lost its reports in a restart and claims to hold all while entries need
/// them, and against one that does not fetch them, so that its entries check each new connection for longer
/// than needed or for good.
#[test]
fn restarted_replicas_catch_up() {
    struct Case {
        name: &'static str,
        replicas: u16,
        /// How many replicas are killed, and how many of these are started again.
        killed: usize,
        restarted: usize,
        /// Whether the others are frozen until the restarted ones have run for a while.
        others_frozen: bool,
        within: Duration,
    }
    let cases = [
        Case {
            name: "one of three",
            replicas: 3,
            killed: 1,
            restarted: 1,
            others_frozen: false,
            within: CATCH_UP_TIME,
        },
        Case {
            name: "one of three, while another one is not running",
            replicas: 3,
            killed: 2,
            restarted: 1,
            others_frozen: false,
            within: CATCH_UP_TIME,
        },
        Case {
            name: "two of three",
            replicas: 3,
            killed: 2,
            restarted: 2,
            others_frozen: false,
            within: CATCH_UP_TIME,
        },
        Case {
            name: "four of five",
            replicas: 5,
            killed: 4,
            restarted: 4,
            others_frozen: false,
            within: CATCH_UP_TIME,
        },
        Case {
            name: "one of three, cut off from the others at first",
            replicas: 3,
            killed: 1,
            restarted: 1,
            others_frozen: true,
            within: CATCH_UP_TIME,
        },
        Case {
            name: "all",
            replicas: 3,
            killed: 3,
            restarted: 3,
            others_frozen: false,
            within: EXPIRY_TIME,
        },
        Case {
            name: "the only one",
            replicas: 1,
            killed: 1,
            restarted: 1,
            others_frozen: false,
            within: EXPIRY_TIME,
        },
    ];
    run_on_actix(async {
        for case in cases {
            let mut cluster = ReplicaCluster::start(case.replicas).await;
            spread_report(&cluster).await;
            let reported_at = cluster.now();
            let all = cluster.all();
            let (killed, others) = all.split_at(case.killed);
            for replica in killed {
                cluster.kill(*replica);
            }
            if case.others_frozen {
                (others.iter()).for_each(|r| cluster.signal(*r, Signal::SIGSTOP));
            }
            let restarted = &killed[..case.restarted];
            for replica in restarted {
                cluster.start_replica(*replica);
            }
            let links: Vec<PeerLink> = restarted.iter().map(|r| link(&cluster, *r)).collect();
            if case.others_frozen {
                sleep(ALONE).await;
                let alone = reports(&links[0]).await.expect("the replica answers");
                assert!(!alone.complete, "{}: {alone:?}", case.name);
                (others.iter()).for_each(|r| cluster.signal(*r, Signal::SIGCONT));
            }
            let started_at = cluster.now();
            let complete = links.iter().map(|link| async {
                let reply = wait_until_complete(link).await;
                (reply, cluster.now())
            });
            for (reply, at) in join_all(complete).await {
                let what = format!("{}: after {:?}, {reply:?}", case.name, at - started_at);
                println!("{what}");
                let expired = at >= reported_at + RETENTION;
                assert!(expired || reply.reports == [INSTANCE], "{what}");
                assert!(at <= started_at + case.within, "{what}");
            }
        }
    });
}

/// Guards against a new group whose entries check each new connection for the retention time, although there are
/// no reports that its replicas could have lost, and against a replica with an empty disk that takes the group
/// for a new one.
#[test]
fn replicas_that_start_for_the_first_time_do_not_wait_for_the_retention_time() {
    struct Case {
        name: &'static str,
        replicas: u16,
        /// Whether one replica loses its data after a report.
        loses_data: bool,
    }
    let cases = [
        Case {
            name: "a new group of one",
            replicas: 1,
            loses_data: false,
        },
        Case {
            name: "a new group of three",
            replicas: 3,
            loses_data: false,
        },
        Case {
            name: "one of three has lost its data",
            replicas: 3,
            loses_data: true,
        },
    ];
    run_on_actix(async {
        for case in cases {
            let mut cluster = ReplicaCluster::start(case.replicas).await;
            let mut expected = Vec::new();
            if case.loses_data {
                spread_report(&cluster).await;
                expected.push(INSTANCE.to_string());
                cluster.kill(1);
                cluster.delete_data(1);
                cluster.start_replica(1);
            }
            let started_at = cluster.now();
            let link = link(&cluster, 1);
            let reply = wait_until_complete(&link).await;
            let took = cluster.now() - started_at;
            println!("{}: {took:?}", case.name);
            assert_eq!(reply.reports, expected, "{}", case.name);
            assert!(took <= CATCH_UP_TIME, "{}: {took:?}", case.name);
        }
    });
}

/// Guards against a replica that counts the empty reply of a build without reports as the answer of one that holds
/// all, and against one that waits for such a replica for good.
#[test]
fn replicas_without_reports_are_not_counted() {
    struct Case {
        name: &'static str,
        restarted: &'static [u16],
        within: Duration,
    }
    let cases = [
        Case {
            name: "one of two with reports restarts",
            restarted: &[1],
            within: CATCH_UP_TIME,
        },
        Case {
            name: "all with reports restart",
            restarted: &[1, 2],
            within: EXPIRY_TIME,
        },
    ];
    run_on_actix(async {
        for case in cases {
            let mut cluster = ReplicaCluster::start(3).await;
            spread_report(&cluster).await;
            let reported_at = cluster.now();
            cluster.kill(3);
            let old = ReplicaWithoutReports::start(cluster.rpc_address(3), cluster.clock()).await;
            for replica in case.restarted {
                cluster.kill(*replica);
            }
            for replica in case.restarted {
                cluster.start_replica(*replica);
            }
            let started_at = cluster.now();
            let reply = wait_until_complete(&link(&cluster, 1)).await;
            let at = cluster.now();
            let what = format!("{}: after {:?}, {reply:?}", case.name, at - started_at);
            println!("{what}");
            let expired = at >= reported_at + RETENTION;
            assert!(expired || reply.reports == [INSTANCE], "{what}");
            assert!(at <= started_at + case.within, "{what}");
            old.stop().await;
        }
    });
}

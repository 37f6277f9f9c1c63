//! Tests of the reports of lost connections that replicas spread, with replicas that run as separate
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

use futures::future::join_all;
use mangospindle_fleet::timing::REPORT_HOLD;
use mangospindle_fleet::{FollowReports, ReportPosition, ReportReply, ReportRequest};
use mangospindle_harness::wait_until;
use mangospindle_rpc::{CUT_OFF_AGE, ControlClient, PeerLink, TrafficCounters};
use nix::sys::signal::Signal;
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, run_on_actix};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;

/// Time within which a report reaches the requests that all replicas hold. Shorter than the hold time, so that
/// a request that is only answered at its end fails the test.
const SPREAD_TIME: Duration = Duration::from_millis(300);

/// Time that a held request may take beyond its hold time.
const REPLY_TIME: Duration = Duration::from_millis(300);

async fn send(client: &ControlClient, request: &ReportRequest) -> Option<ReportReply> {
    let reply = client.exchange(&request.encode()).await?;
    Some(ReportReply::decode(&reply).unwrap())
}

async fn report(client: &ControlClient, instance: &str, pass_on: bool) {
    let request = ReportRequest {
        reports: vec![instance.to_string()],
        pass_on,
        ..ReportRequest::default()
    };
    send(client, &request).await.unwrap();
}

/// A client of each replica, and the position of its reports. Waits until the replicas are connected.
async fn clients(cluster: &ReplicaCluster) -> Vec<(ControlClient, ReportPosition)> {
    let mut clients = Vec::new();
    for replica in cluster.all() {
        let client = cluster.client(&[replica]);
        let request = ReportRequest::default();
        let complete = || async { (send(&client, &request).await).is_some_and(|r| r.complete) };
        wait_until("the reports are complete", WAIT_TIMEOUT, complete)
            .await
            .unwrap();
        let reply = send(&client, &ReportRequest::default()).await.unwrap();
        clients.push((client, reply.position));
    }
    clients
}

/// Sends a request that the replica holds. Returns the reply and the time that it took.
async fn hold(
    cluster: &ReplicaCluster,
    client: &ControlClient,
    known: Option<ReportPosition>,
    hold: Duration,
) -> (ReportReply, Duration) {
    let request = ReportRequest {
        follow: Some(FollowReports { known, hold }),
        ..ReportRequest::default()
    };
    let start = cluster.now();
    let reply = send(client, &request).await.expect("the replica answers");
    (reply, cluster.now() - start)
}

/// Guards against entries that hear of a lost endpoint late, only at some replicas, or again and again because
/// the replicas pass a report back and forth.
#[test]
fn reports_reach_the_requests_that_all_replicas_hold() {
    struct Case {
        name: &'static str,
        replicas: u16,
        pass_on: bool,
    }
    let cases = [
        Case {
            name: "an entry reports to one of three",
            replicas: 3,
            pass_on: true,
        },
        Case {
            name: "an entry reports to one of five",
            replicas: 5,
            pass_on: true,
        },
        Case {
            name: "another replica passes a report on",
            replicas: 3,
            pass_on: false,
        },
    ];
    run_on_actix(async {
        for case in cases {
            let cluster = ReplicaCluster::start(case.replicas).await;
            let mut clients = clients(&cluster).await;
            for reporter in 0..clients.len() {
                let instance = format!("i-{reporter}");
                let held = clients.iter().enumerate().map(|(n, (client, position))| {
                    let held = hold(&cluster, client, Some(*position), REPORT_HOLD);
                    async move { (n, held.await) }
                });
                let reporting = async {
                    // The requests are held by then.
                    sleep(Duration::from_millis(100)).await;
                    let at = cluster.now();
                    report(&clients[reporter].0, &instance, case.pass_on).await;
                    at
                };
                let start = cluster.now();
                let (held, reported_at) = tokio::join!(join_all(held), reporting);
                for (n, (reply, took)) in held {
                    let what = format!("{}: {instance} at replica {n}", case.name);
                    let reached = case.pass_on || n == reporter;
                    let expected: Vec<String> =
                        reached.then(|| instance.clone()).into_iter().collect();
                    assert_eq!(reply.reports, expected, "{what}");
                    assert!(reply.complete, "{what}");
                    let spread = took.saturating_sub(reported_at - start);
                    assert!(!reached || spread <= SPREAD_TIME, "{what}: {spread:?}");
                    let known = &mut clients[n].1;
                    assert_eq!(
                        reply.position.count,
                        known.count + u64::from(reached),
                        "{what}"
                    );
                    *known = reply.position;
                }
            }
        }
    });
}

/// Guards against an entry that waits for a reply longer than its replies count, and against one that asks
/// without a pause because its requests are not held.
#[test]
fn requests_are_answered_at_the_end_of_their_hold_time() {
    struct Case {
        name: &'static str,
        /// Whether the sender knows all reports of the replica.
        knows_all: bool,
        hold: Duration,
        held_for: Duration,
    }
    let cases = [
        Case {
            name: "no hold time",
            knows_all: true,
            hold: Duration::ZERO,
            held_for: Duration::ZERO,
        },
        Case {
            name: "shorter than the maximum",
            knows_all: true,
            hold: REPORT_HOLD / 2,
            held_for: REPORT_HOLD / 2,
        },
        Case {
            name: "the maximum",
            knows_all: true,
            hold: REPORT_HOLD,
            held_for: REPORT_HOLD,
        },
        Case {
            name: "longer than the maximum",
            knows_all: true,
            hold: Duration::MAX,
            held_for: REPORT_HOLD,
        },
        Case {
            name: "a sender that knows no position",
            knows_all: false,
            hold: REPORT_HOLD,
            held_for: Duration::ZERO,
        },
    ];
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        let clients = clients(&cluster).await;
        for case in cases {
            for (client, position) in &clients {
                let known = case.knows_all.then_some(*position);
                let (reply, took) = hold(&cluster, client, known, case.hold).await;
                let expected = case.held_for..case.held_for + REPLY_TIME;
                assert!(expected.contains(&took), "{}: {took:?}", case.name);
                assert_eq!(reply.reports, Vec::<String>::new(), "{}", case.name);
                assert_eq!(reply.position, *position, "{}", case.name);
            }
        }
    });
}

/// Guards against a replica that stops for good because a held request keeps the report count locked while the
/// replica records a further report.
#[test]
fn reports_in_close_succession_do_not_block_replicas() {
    const REPORTS: usize = 60;
    const FOLLOWERS: usize = 4;
    const INTERVAL: Duration = Duration::from_millis(4);
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        let clients = clients(&cluster).await;
        let expected: BTreeSet<String> = (0..REPORTS).map(|n| format!("i-{n}")).collect();
        let follow = |(client, position): &(ControlClient, ReportPosition)| {
            let (client, mut known) = (client.clone(), *position);
            let (cluster, expected) = (&cluster, &expected);
            async move {
                let mut seen = BTreeSet::new();
                while seen.len() < expected.len() {
                    let (reply, _) = hold(cluster, &client, Some(known), REPORT_HOLD).await;
                    known = reply.position;
                    for instance in reply.reports {
                        assert!(seen.insert(instance.clone()), "{instance} is repeated");
                    }
                }
                assert_eq!(seen, *expected);
            }
        };
        let followers = (0..FOLLOWERS).flat_map(|_| &clients).map(follow);
        let reporting = async {
            for (n, (client, _)) in (0..REPORTS).zip(clients.iter().cycle()) {
                sleep(INTERVAL).await;
                report(client, &format!("i-{n}"), true).await;
            }
        };
        let all = async { tokio::join!(join_all(followers), reporting) };
        let finished = tokio::time::timeout(WAIT_TIMEOUT, all).await;
        assert!(finished.is_ok(), "a replica does not answer");
    });
}

/// Waits until a replica replies that it knows all reports, or that it does not.
async fn wait_for_completeness(link: &PeerLink, complete: bool) {
    let request = ReportRequest::default().encode();
    let replied = || async {
        let reply = link.exchange(&request).await;
        let reply = reply.map(|r| ReportReply::decode(&r).unwrap());
        reply.is_some_and(|r| r.complete == complete)
    };
    let what = format!("a reply with complete: {complete}");
    wait_until(&what, WAIT_TIMEOUT, replied).await.unwrap();
}

/// Guards against an entry that takes the silence of a replica for good news although the replica cannot hear
/// of reports.
#[test]
fn replicas_that_are_cut_off_do_not_claim_to_know_all_reports() {
    struct Case {
        name: &'static str,
        replicas: u16,
        frozen: usize,
        complete: bool,
    }
    let cases = [
        Case {
            name: "one of three is left",
            replicas: 3,
            frozen: 2,
            complete: false,
        },
        Case {
            name: "two of five are left",
            replicas: 5,
            frozen: 3,
            complete: false,
        },
        Case {
            name: "two of three are left",
            replicas: 3,
            frozen: 1,
            complete: true,
        },
    ];
    run_on_actix(async {
        for case in cases {
            let cluster = ReplicaCluster::start(case.replicas).await;
            // Unlike a client, a link is kept while its replica is cut off.
            let links = cluster.all().into_iter().map(|replica| {
                let address = cluster.rpc_address(replica);
                let link = PeerLink::start(address, cluster.clock(), TrafficCounters::default());
                (replica, link)
            });
            let links: Vec<(u16, PeerLink)> = links.collect();
            for (_, link) in &links {
                wait_for_completeness(link, true).await;
            }
            // Without its leader, a group with a majority elects another one.
            let leader = cluster.leader().await;
            let mut frozen = cluster.all();
            frozen.sort_by_key(|r| *r != leader);
            frozen.truncate(case.frozen);
            for replica in &frozen {
                cluster.signal(*replica, Signal::SIGSTOP);
            }
            println!("{}: {frozen:?} frozen", case.name);
            // Until then the state of the others still counts as confirmed.
            sleep(CUT_OFF_AGE + Duration::from_millis(500)).await;
            for (_, link) in links.iter().filter(|(r, _)| !frozen.contains(r)) {
                wait_for_completeness(link, case.complete).await;
            }
            for replica in &frozen {
                cluster.signal(*replica, Signal::SIGCONT);
            }
            for (_, link) in &links {
                wait_for_completeness(link, true).await;
            }
        }
    });
}

/// Guards against an entry that takes the silence of a replica for good news although the replica has lost or
/// missed reports, because it was not running or frozen.
#[test]
fn replicas_that_missed_reports_do_not_claim_to_know_all() {
    struct Case {
        name: &'static str,
        stop: fn(&mut ReplicaCluster, u16),
        resume: fn(&mut ReplicaCluster, u16),
    }
    let cases = [
        Case {
            name: "restarted",
            stop: |c, r| c.kill(r),
            resume: |c, r| c.start_replica(r),
        },
        Case {
            name: "frozen",
            stop: |c, r| c.signal(r, Signal::SIGSTOP),
            resume: |c, r| c.signal(r, Signal::SIGCONT),
        },
    ];
    run_on_actix(async {
        for case in cases {
            let mut cluster = ReplicaCluster::start(3).await;
            let clients = clients(&cluster).await;
            let missed = cluster.follower().await;
            let (client, _) = clients[usize::from(missed % 3)].clone();
            (case.stop)(&mut cluster, missed);
            sleep(Duration::from_millis(500)).await;
            report(&client, "i-1", true).await;
            sleep(Duration::from_millis(1_500)).await;
            (case.resume)(&mut cluster, missed);
            let reported_for = cluster.now();
            let client = cluster.client(&[missed]);
            // A report matters for 10 s.
            while cluster.now() < reported_for + Duration::from_secs(6) {
                let request = ReportRequest {
                    follow: Some(FollowReports::default()),
                    ..ReportRequest::default()
                };
                let reply = send(&client, &request).await;
                let knows = |r: &ReportReply| !r.complete || r.reports == ["i-1"];
                assert!(reply.as_ref().is_none_or(knows), "{}: {reply:?}", case.name);
                sleep(Duration::from_millis(20)).await;
            }
        }
    });
}

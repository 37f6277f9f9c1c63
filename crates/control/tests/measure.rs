//! Benchmarks of control replicas on loopback. They are ignored by default; run them with
//! `cargo build --release && cargo test --release -p mangospindle-control --test measure -- \
//! --ignored --nocapture --test-threads 1`.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use commands::claim;
use mangospindle_rpc::ProposeResult;
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, commit_changes, run_on_actix};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Formats the 50th and 99th percentile and the maximum.
fn format_percentiles(values: &mut [Duration]) -> String {
    values.sort_unstable();
    let at = |q: f64| values[((values.len() - 1) as f64 * q) as usize];
    format!("p50 {:?}, p99 {:?}, max {:?}", at(0.5), at(0.99), at(1.0))
}

/// Measures commit latency, claims per second and syncs per claim.
#[test]
#[ignore = "a measurement, not a check"]
fn commits() {
    run_on_actix(async {
        for count in [3, 5] {
            for proposers in [1u64, 8, 64] {
                let cluster = ReplicaCluster::start(count).await;
                let leader = cluster.leader().await;
                let mut order = cluster.all();
                order.rotate_left(usize::from(leader - 1));
                let client = cluster.client(&order);
                cluster.join_entry(&client).await;
                let syncs = cluster.metric(leader, "syncs_total").await.unwrap();
                let (stop, times) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(vec![])));
                let start = cluster.now();
                let tasks: Vec<_> = (0..proposers)
                    .map(|task| {
                        let (client, clock) = (client.clone(), cluster.clock());
                        let (stop, times) = (stop.clone(), times.clone());
                        spawn_local(async move {
                            for number in 0.. {
                                if stop.get() {
                                    break;
                                }
                                let sent = clock.now();
                                let command = claim(task * 1_000_000 + number);
                                let result = client.propose(&command, WAIT_TIMEOUT).await;
                                assert!(matches!(result, ProposeResult::Outcome(_)));
                                times.borrow_mut().push(clock.now() - sent);
                            }
                        })
                    })
                    .collect();
                sleep(Duration::from_secs(5)).await;
                stop.set(true);
                for task in tasks {
                    task.await.unwrap();
                }
                let elapsed = (cluster.now() - start).as_secs_f64();
                let syncs = cluster.metric(leader, "syncs_total").await.unwrap() - syncs;
                let mut times = times.borrow_mut();
                println!(
                    "{count} replicas, {proposers} proposers: {:.0} claims/s, {:.2} syncs per \
                     claim at the leader, latency {}",
                    times.len() as f64 / elapsed,
                    syncs / times.len() as f64,
                    format_percentiles(&mut times),
                );
            }
        }
    });
}

/// Measures the time from `kill -9` of the leader to the next accepted claim.
#[test]
#[ignore = "a measurement, not a check"]
fn failover() {
    run_on_actix(async {
        for count in [3, 5] {
            let mut times = Vec::new();
            let mut cluster = ReplicaCluster::start(count).await;
            for round in 0..15 {
                let leader = cluster.leader().await;
                let others: Vec<u16> = cluster.all().into_iter().filter(|r| *r != leader).collect();
                let client = cluster.client(&others);
                cluster.join_entry(&client).await;
                let killed_at = cluster.now();
                cluster.kill(leader);
                for number in 0.. {
                    let command = claim(round * 1000 + number);
                    let result = client.propose(&command, Duration::from_millis(100)).await;
                    if matches!(result, ProposeResult::Outcome(_)) {
                        break;
                    }
                }
                times.push(cluster.now() - killed_at);
                cluster.start_replica(leader);
                cluster
                    .wait_for_metric(leader, "cut_off", |c| c == 0.0)
                    .await;
            }
            println!(
                "{count} replicas, failover of {} kills: {}",
                times.len(),
                format_percentiles(&mut times)
            );
        }
    });
}

/// Measures the time that a restarted replica takes to catch up on 1,000 missed changes.
#[test]
#[ignore = "a measurement, not a check"]
fn catch_up() {
    run_on_actix(async {
        for count in [3, 5] {
            let mut times = Vec::new();
            let mut cluster = ReplicaCluster::start(count).await;
            let client = cluster.client(&cluster.all());
            for round in 0..5 {
                let restarted = cluster.follower().await;
                cluster.kill(restarted);
                commit_changes(&client, round * 1000 + 1..round * 1000 + 1001).await;
                let version = client.view().config.version.max(round * 1000 + 1001);
                let started_at = cluster.now();
                cluster.start_replica(restarted);
                let restarted_client = cluster.client(&[restarted]);
                let mut views = restarted_client.subscribe();
                views
                    .wait_for(|v| v.config.version >= version)
                    .await
                    .unwrap();
                times.push(cluster.now() - started_at);
            }
            println!(
                "{count} replicas, catch-up after 1,000 changes: {}",
                format_percentiles(&mut times)
            );
        }
    });
}

/// Returns the bytes sent and received by a replica, its CPU time in seconds, and its resident memory
/// in MB.
async fn usage(cluster: &ReplicaCluster, replica: u16) -> (f64, f64, f64) {
    let mut bytes = 0.0;
    for name in [
        "peer_sent",
        "peer_received",
        "server_sent",
        "server_received",
    ] {
        let name = format!("{name}_bytes");
        bytes += cluster.metric(replica, &name).await.unwrap();
    }
    let (seconds, resident) = process_usage(cluster.pid(replica));
    (bytes, seconds, resident)
}

/// Returns the CPU time of a process in seconds and its resident memory in MB.
fn process_usage(pid: u32) -> (f64, f64) {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let ticks: f64 = (13..15).map(|i| fields[i].parse::<f64>().unwrap()).sum();
    let pages: f64 = fields[23].parse().unwrap();
    (ticks / TICKS_PER_SECOND, pages * 4096.0 / 1e6)
}

/// Measures the bytes per second and the CPU use of each replica without load.
#[test]
#[ignore = "a measurement, not a check"]
fn idle() {
    const PERIOD: Duration = Duration::from_secs(20);
    run_on_actix(async {
        for count in [3, 5, 7] {
            let cluster = ReplicaCluster::start(count).await;
            let leader = cluster.leader().await;
            sleep(Duration::from_secs(2)).await;
            let mut before = Vec::new();
            for replica in cluster.all() {
                before.push(usage(&cluster, replica).await);
            }
            sleep(PERIOD).await;
            for (replica, before) in cluster.all().into_iter().zip(before) {
                let after = usage(&cluster, replica).await;
                println!(
                    "{count} replicas, idle, replica {replica}{}: {:.0} bytes/s sent and received, \
                     {:.2}% of a core, {:.0} MB resident",
                    if replica == leader { " (leader)" } else { "" },
                    (after.0 - before.0) / PERIOD.as_secs_f64(),
                    (after.1 - before.1) / PERIOD.as_secs_f64() * 100.0,
                    after.2,
                );
            }
        }
    });
}

/// Measures the time from the proposal of a change until each client has received it.
#[test]
#[ignore = "a measurement, not a check"]
fn propagation() {
    run_on_actix(async {
        for clients in [10usize, 50, 200] {
            let cluster = ReplicaCluster::start(5).await;
            let proposer = cluster.client(&cluster.all());
            let times = Rc::new(RefCell::new(Vec::new()));
            let proposed_at = Rc::new(Cell::new(Duration::ZERO));
            let watchers: Vec<_> = (0..clients)
                .map(|i| {
                    let mut order = cluster.all();
                    order.rotate_left(i % 5);
                    let client = cluster.client(&order);
                    let (times, proposed_at) = (times.clone(), proposed_at.clone());
                    let clock = cluster.clock();
                    let mut views = client.subscribe();
                    let task = spawn_local(async move {
                        let mut version = 1;
                        while views.wait_for(|v| v.config.version > version).await.is_ok() {
                            version = views.borrow().config.version;
                            times.borrow_mut().push(clock.now() - proposed_at.get());
                        }
                    });
                    (client, task)
                })
                .collect();
            sleep(Duration::from_secs(2)).await;
            times.borrow_mut().clear();
            let bytes = || -> u64 {
                let counters = watchers.iter().map(|(client, _)| client.counters());
                counters.map(|c| c.bytes_sent() + c.bytes_received()).sum()
            };
            let before = bytes();
            sleep(Duration::from_secs(10)).await;
            println!(
                "{clients} clients, idle: {} bytes/s sent and received by each",
                (bytes() - before) / 10 / clients as u64,
            );
            let mut accepted = Vec::new();
            for number in 1..41 {
                proposed_at.set(cluster.now());
                commit_changes(&proposer, number..number + 1).await;
                accepted.push(cluster.now() - proposed_at.get());
                sleep(Duration::from_millis(150)).await;
            }
            let mut times = times.borrow_mut();
            assert_eq!(times.len(), clients * 40);
            println!(
                "{clients} clients at 5 replicas: acceptance {}; from proposal to client {}",
                format_percentiles(&mut accepted),
                format_percentiles(&mut times),
            );
            drop(watchers);
        }
    });
}

/// Measures the cost of watches held at one replica, without changes and with one change per second,
/// and the time until the last watcher has received a change. The cost per watch is in
/// `docs/CAPACITY.md`.
#[test]
#[ignore = "a measurement, not a check"]
fn watches() {
    const SECONDS: u64 = 15;
    run_on_actix(async {
        for watchers in [0usize, 10, 50, 200] {
            let cluster = ReplicaCluster::start(3).await;
            let (leader, follower) = (cluster.leader().await, cluster.follower().await);
            let proposer = cluster.client(&[leader]);
            let clients: Vec<_> = (0..watchers).map(|_| cluster.client(&[follower])).collect();
            sleep(Duration::from_secs(3)).await;
            let mut propagation_times = Vec::new();
            for with_changes in [false, true] {
                let before = usage(&cluster, follower).await;
                let own_before = process_usage(std::process::id());
                let start = cluster.now();
                for number in 1..=SECONDS {
                    let proposed_at = cluster.now();
                    if with_changes {
                        commit_changes(&proposer, number..number + 1).await;
                        for client in &clients {
                            let mut views = client.subscribe();
                            let newer = views.wait_for(|v| v.config.version > number);
                            let _view = newer.await.unwrap();
                        }
                        propagation_times.push(cluster.now() - proposed_at);
                    }
                    sleep(Duration::from_secs(1)).await;
                }
                let elapsed = (cluster.now() - start).as_secs_f64();
                let after = usage(&cluster, follower).await;
                let own = process_usage(std::process::id()).0 - own_before.0;
                println!(
                    "{watchers} watchers, {}: replica {:.0} bytes/s, {:.2}% of a core, {:.1} MB \
                     resident; all watchers {:.2}% of a core",
                    if with_changes {
                        "a change each second"
                    } else {
                        "idle"
                    },
                    (after.0 - before.0) / elapsed,
                    (after.1 - before.1) / elapsed * 100.0,
                    after.2,
                    own / elapsed * 100.0,
                );
            }
            println!(
                "{watchers} watchers: from proposal to the last watcher {}; load average {}",
                format_percentiles(&mut propagation_times),
                std::fs::read_to_string("/proc/loadavg").unwrap().trim(),
            );
        }
    });
}

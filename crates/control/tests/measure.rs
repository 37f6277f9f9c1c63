//! Measurements on loopback. They are ignored by default; run with
//! `cargo build --release && cargo test --release -p mangospindle-control --test measure -- \
//! --ignored --nocapture --test-threads 1`.

#![allow(clippy::unwrap_used)] // Helpers outside test functions fail the test.

#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Shared by test crates that use different parts of it.
#[path = "support/replicas.rs"]
mod replicas;

use commands::claim;
use mangospindle_rpc::ProposeResult;
use replicas::{LIMIT, Replicas, commit_changes, run};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// p50, p99 and the largest.
fn quantiles(values: &mut [Duration]) -> String {
    values.sort_unstable();
    let at = |q: f64| values[((values.len() - 1) as f64 * q) as usize];
    format!("p50 {:?}, p99 {:?}, max {:?}", at(0.5), at(0.99), at(1.0))
}

/// Commit latency, claims per second and syncs per claim.
#[test]
#[ignore = "a measurement, not a check"]
fn commits() {
    run(async {
        for count in [3, 5] {
            for proposers in [1u64, 8, 64] {
                let replicas = Replicas::start(count).await;
                let leader = replicas.leader().await;
                let mut order = replicas.all();
                order.rotate_left(usize::from(leader - 1));
                let client = replicas.client(&order);
                replicas.join(&client).await;
                let syncs = replicas.metric(leader, "syncs_total").await.unwrap();
                let (stop, times) = (Rc::new(Cell::new(false)), Rc::new(RefCell::new(vec![])));
                let start = replicas.now();
                let tasks: Vec<_> = (0..proposers)
                    .map(|task| {
                        let (client, clock) = (client.clone(), replicas.clock());
                        let (stop, times) = (stop.clone(), times.clone());
                        spawn_local(async move {
                            for number in 0.. {
                                if stop.get() {
                                    break;
                                }
                                let sent = clock.now();
                                let command = claim(task * 1_000_000 + number);
                                let result = client.propose(&command, LIMIT).await;
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
                let elapsed = (replicas.now() - start).as_secs_f64();
                let syncs = replicas.metric(leader, "syncs_total").await.unwrap() - syncs;
                let mut times = times.borrow_mut();
                println!(
                    "{count} replicas, {proposers} proposers: {:.0} claims/s, {:.2} syncs per \
                     claim at the leader, latency {}",
                    times.len() as f64 / elapsed,
                    syncs / times.len() as f64,
                    quantiles(&mut times),
                );
            }
        }
    });
}

/// Time from kill -9 of the leader to the next accepted claim.
#[test]
#[ignore = "a measurement, not a check"]
fn failover() {
    run(async {
        for count in [3, 5] {
            let mut times = Vec::new();
            let mut replicas = Replicas::start(count).await;
            for round in 0..15 {
                let leader = replicas.leader().await;
                let others: Vec<u16> = replicas
                    .all()
                    .into_iter()
                    .filter(|r| *r != leader)
                    .collect();
                let client = replicas.client(&others);
                replicas.join(&client).await;
                let killed_at = replicas.now();
                replicas.kill(leader);
                for number in 0.. {
                    let command = claim(round * 1000 + number);
                    let result = client.propose(&command, Duration::from_millis(100)).await;
                    if matches!(result, ProposeResult::Outcome(_)) {
                        break;
                    }
                }
                times.push(replicas.now() - killed_at);
                replicas.start_replica(leader);
                replicas.wait_metric(leader, "cut_off", |c| c == 0.0).await;
            }
            println!(
                "{count} replicas, failover of {} kills: {}",
                times.len(),
                quantiles(&mut times)
            );
        }
    });
}

/// Time from the start of a process that missed 1,000 changes until it has them.
#[test]
#[ignore = "a measurement, not a check"]
fn catch_up() {
    run(async {
        for count in [3, 5] {
            let mut times = Vec::new();
            let mut replicas = Replicas::start(count).await;
            let client = replicas.client(&replicas.all());
            for round in 0..5 {
                let away = replicas.follower().await;
                replicas.kill(away);
                commit_changes(&client, round * 1000 + 1..round * 1000 + 1001).await;
                let version = client.view().config.version.max(round * 1000 + 1001);
                let started_at = replicas.now();
                replicas.start_replica(away);
                let at_away = replicas.client(&[away]);
                let mut views = at_away.subscribe();
                views
                    .wait_for(|v| v.config.version >= version)
                    .await
                    .unwrap();
                times.push(replicas.now() - started_at);
            }
            println!(
                "{count} replicas, catch-up after 1,000 changes: {}",
                quantiles(&mut times)
            );
        }
    });
}

/// Bytes sent and received, seconds of processor time, and resident memory in MB of a replica.
async fn usage(replicas: &Replicas, replica: u16) -> (f64, f64, f64) {
    let mut bytes = 0.0;
    for name in [
        "peer_sent",
        "peer_received",
        "server_sent",
        "server_received",
    ] {
        let name = format!("{name}_bytes");
        bytes += replicas.metric(replica, &name).await.unwrap();
    }
    let (seconds, resident) = process_usage(replicas.pid(replica));
    (bytes, seconds, resident)
}

/// Seconds of processor time, and resident memory in MB.
fn process_usage(pid: u32) -> (f64, f64) {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let ticks: f64 = (13..15).map(|i| fields[i].parse::<f64>().unwrap()).sum();
    let pages: f64 = fields[23].parse().unwrap();
    (ticks / TICKS_PER_SECOND, pages * 4096.0 / 1e6)
}

/// Bytes per second and CPU of each replica without load.
#[test]
#[ignore = "a measurement, not a check"]
fn idle() {
    const PERIOD: Duration = Duration::from_secs(20);
    run(async {
        for count in [3, 5, 7] {
            let replicas = Replicas::start(count).await;
            let leader = replicas.leader().await;
            sleep(Duration::from_secs(2)).await;
            let mut before = Vec::new();
            for replica in replicas.all() {
                before.push(usage(&replicas, replica).await);
            }
            sleep(PERIOD).await;
            for (replica, before) in replicas.all().into_iter().zip(before) {
                let after = usage(&replicas, replica).await;
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

/// Time from the proposal of a change until each client holds it.
#[test]
#[ignore = "a measurement, not a check"]
fn propagation() {
    run(async {
        for clients in [10usize, 50, 200] {
            let replicas = Replicas::start(5).await;
            let proposer = replicas.client(&replicas.all());
            let times = Rc::new(RefCell::new(Vec::new()));
            let proposed_at = Rc::new(Cell::new(Duration::ZERO));
            let watchers: Vec<_> = (0..clients)
                .map(|i| {
                    let mut order = replicas.all();
                    order.rotate_left(i % 5);
                    let client = replicas.client(&order);
                    let (times, proposed_at) = (times.clone(), proposed_at.clone());
                    let clock = replicas.clock();
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
                proposed_at.set(replicas.now());
                commit_changes(&proposer, number..number + 1).await;
                accepted.push(replicas.now() - proposed_at.get());
                sleep(Duration::from_millis(150)).await;
            }
            let mut times = times.borrow_mut();
            assert_eq!(times.len(), clients * 40);
            println!(
                "{clients} clients at 5 replicas: acceptance {}; from proposal to client {}",
                quantiles(&mut accepted),
                quantiles(&mut times),
            );
            drop(watchers);
        }
    });
}

/// Cost of watches held at one replica, without changes and with one change per second, and the
/// time until the last watcher has a change. Guards nothing; the slopes are in `docs/CAPACITY.md`.
#[test]
#[ignore = "a measurement, not a check"]
fn watches() {
    const SECONDS: u64 = 15;
    run(async {
        for watchers in [0usize, 10, 50, 200] {
            let replicas = Replicas::start(3).await;
            let (leader, follower) = (replicas.leader().await, replicas.follower().await);
            let proposer = replicas.client(&[leader]);
            let clients: Vec<_> = (0..watchers)
                .map(|_| replicas.client(&[follower]))
                .collect();
            sleep(Duration::from_secs(3)).await;
            let mut lasts = Vec::new();
            for with_changes in [false, true] {
                let before = usage(&replicas, follower).await;
                let own_before = process_usage(std::process::id());
                let start = replicas.now();
                for number in 1..=SECONDS {
                    let proposed_at = replicas.now();
                    if with_changes {
                        commit_changes(&proposer, number..number + 1).await;
                        for client in &clients {
                            let mut views = client.subscribe();
                            let newer = views.wait_for(|v| v.config.version > number);
                            let _view = newer.await.unwrap();
                        }
                        lasts.push(replicas.now() - proposed_at);
                    }
                    sleep(Duration::from_secs(1)).await;
                }
                let elapsed = (replicas.now() - start).as_secs_f64();
                let after = usage(&replicas, follower).await;
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
                quantiles(&mut lasts),
                std::fs::read_to_string("/proc/loadavg").unwrap().trim(),
            );
        }
    });
}

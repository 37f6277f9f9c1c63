//! Guards against work that is cut by a planned stop, and against new work at leaving endpoints.

use awc::Client;
use mangospindle_bench::run_load;
use mangospindle_harness::{Cluster, ClusterSpec, Example, Node, violations, wait_until};
use mangospindle_model::EntryId;
use mangospindle_standin::{Behaviour, HealthState};
use nix::sys::signal::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Bound within which a leaving endpoint must stop receiving requests, from the design page.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

#[actix_rt::test]
async fn rolling_restart_of_all_entries_cuts_nothing() {
    let mut cluster = Cluster::start(ClusterSpec::new(Example::Cantabrica))
        .await
        .expect("starts");
    let plan = cluster.load(40.0, Duration::from_secs(45), 3);
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    // One entry of each region; each stop takes the lookup lifetime of 5 s at least.
    for entry in [0, 3, 6] {
        let node = Node::Entry(entry);
        cluster
            .process(node)
            .expect("runs")
            .signal(Signal::SIGTERM)
            .expect("sent");
        let mut status = None;
        for _ in 0..1_000 {
            status = cluster
                .process(node)
                .expect("runs")
                .try_wait()
                .expect("waits");
            if status.is_some() {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(
            status.and_then(|s| s.code()),
            Some(0),
            "entry {entry} ends with 0"
        );
        cluster.start_entry(EntryId(entry)).expect("restarted");
        cluster.wait_ready(EntryId(entry)).await.expect("ready");
    }
    let load = load.await.expect("the load ends");
    let report = cluster.standins.report().await.expect("stand-ins report");
    let found = violations(&report, &load);
    assert!(found.is_empty(), "{found:#?}\n{load}");
    for (class, c) in &load.classes {
        assert!(c.failed.is_empty(), "{class} has failures\n{load}");
    }
}

#[actix_rt::test]
async fn long_upload_survives_the_stop_of_its_entry() {
    let mut cluster = Cluster::start(ClusterSpec::new(Example::Cantabrica))
        .await
        .expect("starts");
    let address = cluster.entry_address(EntryId(0));
    let chunks = futures::stream::unfold(0, |i| async move {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let chunk = bytes::Bytes::from(vec![b'x'; 10_000]);
        (i < 100).then_some((Ok::<_, std::io::Error>(chunk), i + 1))
    });
    let upload = actix_rt::spawn(async move {
        let req = Client::builder().disable_timeout().finish();
        let req = req.put(format!("http://{address}/s/fotocarga/file"));
        let body = awc::body::SizedStream::new(1_000_000, Box::pin(chunks));
        let mut answer = req.send_body(body).await.expect("answered");
        (
            answer.status().as_u16(),
            answer.body().await.expect("complete"),
        )
    });
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let entry = cluster.process(Node::Entry(0)).expect("runs");
    entry.signal(Signal::SIGTERM).expect("sent");
    let (status, body) = upload.await.expect("the upload ends");
    assert_eq!(status, 200);
    assert!(
        String::from_utf8_lossy(&body).contains("\"received_bytes\":1000000"),
        "{body:?}"
    );
}

/// Longest time from SIGTERM to the exit of an entry: lookup lifetime of 5 s, then for the release of
/// the endpoints and for the requests each the longest deadline (60 s) and 5 s, then 2 s for closing.
const EXIT_LIMIT: Duration = Duration::from_secs(5 + 2 * (60 + 5) + 2);

/// Guards against an entry that exits while an action whose caller has disconnected still runs.
#[actix_rt::test]
async fn action_without_its_caller_survives_the_stop_of_its_entry() {
    let mut spec = ClusterSpec::new(Example::Cantabrica);
    spec.service_time_ms = 4_000;
    let mut cluster = Cluster::start(spec).await.expect("starts");
    let entry = cluster.process(Node::Entry(0)).expect("runs");
    entry.signal(Signal::SIGTERM).expect("sent");
    // The entry accepts requests for 5 s, and the action ends 6 s after the signal at the earliest.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let limit = Duration::from_secs(3);
    let released = wait_until("the endpoints have other owners", limit, || async {
        owned_endpoints(&cluster, EntryId(0)).await == 0
    });
    released.await.expect("released");
    let mut caller = TcpStream::connect(cluster.entry_address(EntryId(0))).expect("connected");
    let req = "POST /s/fianzas/charge HTTP/1.1\r\nhost: t\r\nidempotency-key: left\r\n\
               content-length: 6\r\n\r\ncharge";
    caller.write_all(req.as_bytes()).expect("sent");
    let limit = Duration::from_secs(5);
    let runs = wait_until("the action runs", limit, || async {
        executions(&cluster, "left").await > 0
    });
    runs.await.expect("runs");
    drop(caller);
    let status = wait_for_exit(&mut cluster, EXIT_LIMIT).await;
    assert_eq!(status, Some(0));
    let address = cluster.entry_address(EntryId(8));
    let req = Client::builder().disable_timeout().finish();
    let req = req.post(format!("http://{address}/s/fianzas/charge"));
    let req = req.insert_header(("idempotency-key", "left"));
    let mut answer = req.send_body("charge").await.expect("answered");
    let body = answer.body().await.expect("complete");
    let log = cluster.process(Node::Entry(0)).expect("known").log();
    let replayed = answer.headers().contains_key("x-replayed");
    let context = format!("{answer:?}\n{body:?}\n{log}");
    assert_eq!(
        (answer.status().as_u16(), replayed),
        (200, true),
        "{context}"
    );
    assert_eq!(executions(&cluster, "left").await, 1, "{context}");
}

/// Number of endpoints that an entry owns, by its own status.
async fn owned_endpoints(cluster: &Cluster, entry: EntryId) -> usize {
    let address = cluster.topology().entries[entry.index()].internal_address;
    let status = Client::default().get(format!("http://{address}/v1/status"));
    let mut answer = status.send().await.expect("answered");
    let status: serde_json::Value = answer.json().await.expect("status");
    let owned = status["configuration"]["owned_endpoints"].as_array();
    owned.expect("the status lists them").len()
}

/// Number of times that the endpoints ran the action with this key.
async fn executions(cluster: &Cluster, key: &str) -> u32 {
    let report = cluster.standins.report().await.expect("stand-ins report");
    let endpoints = report.endpoints.values();
    endpoints.filter_map(|e| e.executions.get(key)).sum()
}

/// Waits up to `limit` for the exit of entry 0 and returns its exit code.
async fn wait_for_exit(cluster: &mut Cluster, limit: Duration) -> Option<i32> {
    let wait = async {
        loop {
            let entry = cluster.process(Node::Entry(0)).expect("known");
            if let Some(status) = entry.try_wait().expect("waits") {
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let status = actix_rt::time::timeout(limit, wait).await;
    status.expect("the entry exits within its limit")
}

/// Who says that an endpoint leaves.
#[derive(Clone, Copy, Debug)]
enum Source {
    Endpoint,
    VmList,
}

#[actix_rt::test]
async fn leaving_endpoints_get_no_new_work() {
    let cluster = Cluster::start(ClusterSpec::new(Example::Cantabrica))
        .await
        .expect("starts");
    let plan = cluster.load(60.0, Duration::from_secs(16), 4);
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let cases = [
        (Source::Endpoint, "galeradas-astur-1-1"),
        (Source::VmList, "galeradas-cantab-1-1"),
    ];
    for (source, name) in cases {
        let requests = || async {
            let report = cluster.standins.report().await.expect("stand-ins report");
            report.endpoints[name].requests
        };
        let before = requests().await;
        wait_until("the endpoint is used", Duration::from_secs(10), || async {
            requests().await > before
        })
        .await
        .unwrap_or_else(|e| panic!("{source:?}: {e}"));
        leave(&cluster, source, name).await;
        actix_rt::time::sleep(DRAIN_BOUND).await;
        let then = requests().await;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(requests().await, then, "{source:?}: {name} got new work");
    }
    let load = load.await.expect("the load ends");
    let report = cluster.standins.report().await.expect("stand-ins report");
    let found = violations(&report, &load);
    assert!(found.is_empty(), "{found:#?}\n{load}");
    assert!(load.classes["read"].failed.is_empty(), "{load}");
}

async fn leave(cluster: &Cluster, source: Source, name: &str) {
    match source {
        Source::Endpoint => {
            let behaviour = Behaviour {
                health: HealthState::Leaving,
                ..Behaviour::default()
            };
            let changed = cluster.standins.set_behaviour(&[name], behaviour).await;
            changed.expect("changed");
        }
        Source::VmList => {
            let topology = cluster.topology();
            let entries = topology.entries.iter().map(|e| &e.name);
            let names = entries.chain(topology.endpoints.iter().map(|e| &e.name));
            let state = |n: &String| if n == name { "leaving" } else { "live" };
            let vms: Vec<_> = names.map(|n| (n.clone(), state(n).to_string())).collect();
            cluster.standins.set_vms(&vms).await.expect("changed");
        }
    }
}

/// Guards against a drain by an operator that is ignored, or whose end nobody can see.
#[actix_rt::test]
async fn operator_sees_the_end_of_a_drain() {
    let cluster = Cluster::start(ClusterSpec::new(Example::Cantabrica))
        .await
        .expect("starts");
    let name = "galeradas-vasco-2-1";
    let plan = cluster.load(40.0, Duration::from_secs(8), 5);
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let admin = cluster.admin_address(2);
    let changed = Client::default()
        .put(format!("http://{admin}/v1/endpoints/{name}/drain"))
        .insert_header(("idempotency-key", "drain-1"))
        .send_json(&serde_json::json!({"drain": true}))
        .await
        .expect("answered");
    assert_eq!(changed.status().as_u16(), 200);
    actix_rt::time::sleep(DRAIN_BOUND).await;
    let requests = || async {
        let report = cluster.standins.report().await.expect("stand-ins report");
        report.endpoints[name].requests
    };
    let then = requests().await;
    wait_until("the drain is over", Duration::from_secs(10), || async {
        let status = Client::default().get(format!("http://{admin}/v1/status"));
        let Ok(mut answer) = status.send().await else {
            return false;
        };
        let status: serde_json::Value = answer.json().await.unwrap_or_default();
        let drain = &status["drains"][0];
        drain["name"] == name && drain["in_progress"] == 0 && drain["drain_time_ms"].is_u64()
    })
    .await
    .expect("the status shows the end");
    let load = load.await.expect("the load ends");
    assert_eq!(requests().await, then, "{name} got new work");
    assert!(load.classes["read"].failed.is_empty(), "{load}");
}

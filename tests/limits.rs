//! Guards against limits that are exceeded, actions that run twice and answers that are wrong, while
//! entries, endpoints, readings and links fail. Everything is counted at the endpoints and at the
//! callers, never inside the system.

use mangospindle_bench::{LoadReport, run_load};
use mangospindle_harness::{Cluster, ClusterSpec, Example, Fault, Node, violations};
use mangospindle_model::EntryId;
use mangospindle_standin::{Behaviour, Failure};
use nix::sys::signal::Signal;
use std::time::Duration;

/// What happens during a load.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    KillAndRestartEntry,
    FreezeEntry,
    CutOffDomain,
    CutOffRegion,
    FreezeReadings,
    FailFastEndpoints,
    StallEndpoints,
    SilenceConnections,
    KillControlLeaderCandidates,
}

struct Case {
    name: &'static str,
    event: Event,
    /// Processing time of endpoints, in milliseconds.
    service_time_ms: u64,
    /// Requests per second from each region, 7 in 10 of them reads of the first service. Its 12
    /// slots in a region carry 600 reads per second at 20 ms and 120 at 100 ms.
    rate: f64,
    /// Least part of reads that must succeed.
    min_reads: f64,
}

const LOAD_TIME: Duration = Duration::from_secs(8);

async fn run_case(case: Case) {
    let mut spec = ClusterSpec::new(Example::Cantabrica);
    spec.latencies = true;
    spec.service_time_ms = case.service_time_ms;
    let mut cluster = Cluster::start(spec).await.expect("cluster starts");
    let plan = cluster.load(case.rate, LOAD_TIME, 7);
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    actix_rt::time::sleep(LOAD_TIME / 4).await;
    apply(&mut cluster, case.event).await;
    let load = load.await.expect("the load ends");
    let report = cluster.standins.report().await.expect("stand-ins report");
    println!("{}\n{load}", case.name);
    let found = violations(&report, &load);
    assert!(found.is_empty(), "{}: {found:#?}\n{load}", case.name);
    let part = success_rate(&load, "read");
    assert!(part >= case.min_reads, "{}: {part}\n{load}", case.name);
}

fn success_rate(load: &LoadReport, class: &str) -> f64 {
    let class = &load.classes[class];
    class.succeeded as f64 / class.started.max(1) as f64
}

async fn apply(cluster: &mut Cluster, event: Event) {
    let pause = LOAD_TIME / 4;
    let normal = Behaviour::default();
    match event {
        Event::Nothing => {}
        Event::KillAndRestartEntry => {
            cluster.kill(Node::Entry(0)).expect("killed");
            actix_rt::time::sleep(pause).await;
            cluster.start_entry(EntryId(0)).expect("restarted");
        }
        Event::FreezeEntry => {
            let entry = cluster.process(Node::Entry(0)).expect("runs");
            entry.signal(Signal::SIGSTOP).expect("stopped");
            actix_rt::time::sleep(pause).await;
            let entry = cluster.process(Node::Entry(0)).expect("runs");
            entry.signal(Signal::SIGCONT).expect("continued");
        }
        Event::CutOffDomain => {
            let domain = cluster.topology().entries[0].failure_domain;
            cluster.set_partition(&[domain], Fault::CUT);
            actix_rt::time::sleep(pause * 2).await;
            cluster.set_partition(&[domain], Fault::default());
        }
        Event::CutOffRegion => {
            let domains = cluster.domains_of_region(0);
            cluster.set_partition(&domains, Fault::CUT);
            actix_rt::time::sleep(pause * 2).await;
            cluster.set_partition(&domains, Fault::default());
        }
        Event::FreezeReadings => {
            let behaviour = Behaviour {
                freeze_readings: true,
                ..normal
            };
            let changed = cluster.standins.set_behaviour(&[], behaviour).await;
            changed.expect("changed");
        }
        Event::FailFastEndpoints => set_failure(cluster, Failure::FailFast).await,
        Event::StallEndpoints => set_failure(cluster, Failure::Stall).await,
        Event::SilenceConnections => {
            let silence = Fault {
                silence_existing: true,
                ..Fault::default()
            };
            cluster.proxy.set_where(|_| true, silence);
        }
        Event::KillControlLeaderCandidates => {
            for replica in [1, 2] {
                cluster.kill(Node::Control(replica)).expect("killed");
            }
        }
    }
}

/// Makes one endpoint in 12 of the service that is read fail.
async fn set_failure(cluster: &Cluster, failure: Failure) {
    let behaviour = Behaviour {
        failure,
        ..Behaviour::default()
    };
    let bad = ["galeradas-astur-1-1"];
    let changed = cluster.standins.set_behaviour(&bad, behaviour).await;
    changed.expect("changed");
}

macro_rules! cases {
    ($($name:ident: $event:ident, $service_time_ms:expr, $rate:expr, $min_reads:expr;)*) => {
        $(#[actix_rt::test]
        async fn $name() {
            run_case(Case {
                name: stringify!($name),
                event: Event::$event,
                service_time_ms: $service_time_ms,
                rate: $rate,
                min_reads: $min_reads,
            })
            .await;
        })*
    };
}

cases! {
    calm: Nothing, 20, 60.0, 1.0;
    // 120 of 175 reads per second fit; 95% of that is the target for refusals.
    overload: Nothing, 100, 250.0, 0.65;
    entry_is_killed_and_restarts: KillAndRestartEntry, 20, 60.0, 0.95;
    entry_freezes: FreezeEntry, 20, 60.0, 0.9;
    failure_domain_is_cut_off: CutOffDomain, 20, 60.0, 0.9;
    region_is_cut_off: CutOffRegion, 20, 60.0, 0.9;
    readings_freeze: FreezeReadings, 20, 60.0, 0.99;
    endpoint_fails_fast: FailFastEndpoints, 20, 60.0, 0.95;
    endpoint_stalls: StallEndpoints, 20, 60.0, 0.95;
    connections_go_silent: SilenceConnections, 20, 60.0, 0.95;
    two_control_replicas_die: KillControlLeaderCandidates, 20, 60.0, 1.0;
}

/// Guards against a region above its limit when the limit, and not the slots, is what binds, also
/// while an entry dies and restarts.
#[actix_rt::test]
async fn region_limit_below_the_slots() {
    const LIMIT: u32 = 18;
    let mut spec = ClusterSpec::new(Example::Cantabrica);
    spec.service_time_ms = 100;
    let replace = |old: &str, new: &str| (old.to_string(), new.to_string());
    // Short deadlines, because a process waits for the longest one before it uses its part.
    spec.replace = vec![
        replace("\"max_in_progress\": 48", "\"max_in_progress\": 18"),
        replace("\"max_deadline\": \"60s\"", "\"max_deadline\": \"2s\""),
        replace("\"max_deadline\": \"5s\"", "\"max_deadline\": \"2s\""),
    ];
    let mut cluster = Cluster::start(spec).await.expect("cluster starts");
    actix_rt::time::sleep(Duration::from_secs(7)).await;
    let plan = cluster.load(250.0, LOAD_TIME, 9);
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    actix_rt::time::sleep(LOAD_TIME / 4).await;
    apply(&mut cluster, Event::KillAndRestartEntry).await;
    let load = load.await.expect("the load ends");
    let report = cluster.standins.report().await.expect("stand-ins report");
    let found = violations(&report, &load);
    assert!(found.is_empty(), "{found:#?}\n{load}");
    let used = report.regions.values().map(|r| r.max_in_progress).max();
    assert!(
        used >= Some(LIMIT / 2),
        "the limit was never near: {used:?}\n{load}"
    );
}

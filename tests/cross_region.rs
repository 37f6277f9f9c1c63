//! Guards against cross-region traffic above the operator's limit, as the callers and the endpoints
//! count it, while a region's own capacity is lost.

use mangospindle_bench::{Traffic, TrafficKind, run_load};
use mangospindle_harness::{Cluster, ClusterSpec, Example, Fault, Node, violations};
use std::time::Duration;

/// What takes the home region's capacity away.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Entries of the region die; its clients turn to other regions.
    Entries,
    /// The endpoints of the region cannot be reached from its entries.
    Endpoints,
    /// The region's entries die, and the serving regions are cut off from control.
    EntriesAndControl,
}

/// Requests per second that one region may serve for clients of another, for each service.
const LIMIT: u32 = 20;

async fn run_case(loss: Loss) {
    let mut spec = ClusterSpec::new(Example::Cantabrica);
    spec.latencies = true;
    let limit = |n: u32| format!("\"cross_region_limit\": {n},");
    spec.replace = vec![(limit(60), limit(LIMIT))];
    let mut cluster = Cluster::start(spec).await.expect("cluster starts");
    let mut plan = cluster.load(0.0, Duration::from_secs(20), 11);
    plan.traffic = vec![Traffic {
        service: "galeradas".to_string(),
        kind: TrafficKind::Read {
            answer_bytes: 1_000,
        },
        rate_by_region: vec![120.0, 40.0, 40.0],
    }];
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    if matches!(loss, Loss::EntriesAndControl) {
        for replica in 1..=5 {
            cluster.kill(Node::Control(replica)).expect("killed");
        }
    }
    match loss {
        Loss::Entries | Loss::EntriesAndControl => {
            for entry in 0..3 {
                cluster.kill(Node::Entry(entry)).expect("killed");
            }
        }
        Loss::Endpoints => {
            let domains = cluster.domains_of_region(0);
            let cut = |node| domains.iter().any(|d| node == Node::Endpoints(d.0));
            (cluster.proxy).set_where(|key| cut(key.from) || cut(key.to), Fault::CUT);
        }
    }
    let load = load.await.expect("the load ends");
    let report = cluster.standins.report().await.expect("stand-ins report");
    println!("{loss:?}\n{load}");
    let found = violations(&report, &load);
    assert!(found.is_empty(), "{loss:?}: {found:#?}");
    for (pair, most) in &load.max_cross_region_per_second {
        assert!(*most <= LIMIT, "{loss:?}: callers saw {most}/s for {pair}");
    }
    for (serving, region) in &report.regions {
        for (source, arrivals) in &region.arrivals {
            let foreign = !source.ends_with(serving.as_str());
            let most = arrivals.iter().max().copied().unwrap_or(0);
            assert!(
                !foreign || most <= LIMIT,
                "{loss:?}: {source}->{serving} {most}/s"
            );
        }
    }
    // The pace must also reach something: otherwise the limit would hold by serving nothing.
    if !matches!(loss, Loss::EntriesAndControl) {
        let moved = load.max_cross_region_per_second.values().max();
        assert!(moved.copied().unwrap_or(0) > LIMIT / 4, "{loss:?}\n{load}");
    }
}

#[actix_rt::test]
async fn entries_of_a_region_die() {
    run_case(Loss::Entries).await;
}

#[actix_rt::test]
async fn endpoints_of_a_region_are_unreachable() {
    run_case(Loss::Endpoints).await;
}

#[actix_rt::test]
async fn entries_of_a_region_and_control_die() {
    run_case(Loss::EntriesAndControl).await;
}

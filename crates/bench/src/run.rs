use crate::caller::Caller;
use crate::direct::Direct;
use crate::recorder::{Finished, Recorder};
use crate::{LoadPlan, LoadReport, Traffic};
use mangospindle_model::{Clock, MonotonicClock, RegionId, RequestClass, Topology};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request that will be started.
struct Arrival {
    at: Duration,
    region: usize,
    traffic: usize,
    caller: usize,
    token: String,
}

/// Generates the load of a plan and waits until all requests have ended.
pub async fn run_load(plan: &LoadPlan) -> LoadReport {
    let direct = Direct::new(plan);
    let mut refresher = None;
    if let Some(direct) = direct.clone() {
        direct.refresh().await;
        refresher = Some(actix_rt::spawn(async move { direct.keep_fresh().await }));
    }
    let clock: Arc<dyn Clock> = Arc::new(MonotonicClock::new());
    let callers = callers(plan, &clock, direct.as_ref());
    let recorder = Rc::new(RefCell::new(Recorder::new(plan.seed)));
    let mut running = Vec::new();
    for arrival in arrivals(plan) {
        let wait = arrival.at.saturating_sub(clock.now());
        if !wait.is_zero() {
            actix_rt::time::sleep(wait).await;
        }
        let caller = Rc::clone(&callers[arrival.region][arrival.caller]);
        let traffic = plan.traffic[arrival.traffic].clone();
        let (clock, recorder) = (Arc::clone(&clock), Rc::clone(&recorder));
        let deadline = match traffic.kind.class() {
            RequestClass::Upload => plan.upload_deadline,
            RequestClass::Read | RequestClass::AtMostOnce => plan.deadline,
        };
        running.push(actix_rt::spawn(async move {
            let ending = caller
                .send(&traffic.service, traffic.kind, &arrival.token, deadline)
                .await;
            let now = clock.now();
            let key = (traffic.kind.class() == RequestClass::AtMostOnce).then_some(arrival.token);
            recorder.borrow_mut().record(Finished {
                class: traffic.kind.class(),
                service: traffic.service,
                home_region: caller.home_region().to_string(),
                key,
                at: now,
                latency: now.saturating_sub(arrival.at),
                ending,
            });
        }));
    }
    futures::future::join_all(running).await;
    if let Some(refresher) = refresher {
        refresher.abort();
    }
    let recorder = Rc::into_inner(recorder).map(RefCell::into_inner);
    recorder.map_or_else(LoadReport::default, Recorder::report)
}

fn callers(
    plan: &LoadPlan,
    clock: &Arc<dyn Clock>,
    direct: Option<&Rc<Direct>>,
) -> Vec<Vec<Rc<Caller>>> {
    let region = |(i, region): (usize, &mangospindle_model::Region)| {
        let delays = Rc::new(delays(plan, i));
        (0..plan.callers_per_region.max(1))
            .map(|n| {
                let address = caller_address(&plan.topology, RegionId(i as u16), n);
                let mut entries = plan.entries.clone();
                let shift = usize::from(n) % entries.len().max(1);
                entries.rotate_left(shift);
                let home = (RegionId(i as u16), region.name.clone());
                let delays = Rc::clone(&delays);
                Caller::new(
                    address,
                    home,
                    entries,
                    delays,
                    direct.cloned(),
                    plan.max_tried,
                    Arc::clone(clock),
                )
            })
            .collect()
    };
    plan.topology
        .regions
        .iter()
        .enumerate()
        .map(region)
        .collect()
}

/// One-way latencies from the clients of a home region to entries and endpoints.
fn delays(plan: &LoadPlan, home: usize) -> HashMap<SocketAddr, Duration> {
    let topology = &plan.topology;
    let entries = (topology.entry_ids()).map(|id| {
        let address = topology.entries[id.index()].public_address;
        (address, topology.entry_region(id))
    });
    let endpoints = (topology.endpoint_ids()).map(|id| {
        let address = topology.endpoints[id.index()].address;
        (address, topology.endpoint_region(id))
    });
    let Some(row) = plan.one_way.get(home) else {
        return HashMap::new();
    };
    (entries.chain(endpoints))
        .filter_map(|(address, region)| Some((address, *row.get(region.index())?)))
        .collect()
}

/// An address in a block of its own within the region's first client range, or loopback.
fn caller_address(topology: &Topology, region: RegionId, n: u16) -> IpAddr {
    let range = topology.client_ranges.iter().find(|c| c.region == region);
    match range.map(|r| (r.net.network(), r.block_prefix)) {
        Some((IpAddr::V4(net), prefix)) => {
            let step = 1u32 << (32 - u32::from(prefix.clamp(1, 32)));
            IpAddr::V4(Ipv4Addr::from(u32::from(net) + u32::from(n) * step + 1))
        }
        _ => IpAddr::V4(Ipv4Addr::LOCALHOST),
    }
}

/// Draws all arrivals of a plan, in the order of their times.
fn arrivals(plan: &LoadPlan) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (traffic, Traffic { rate_by_region, .. }) in plan.traffic.iter().enumerate() {
        for (region, rate) in rate_by_region.iter().enumerate() {
            // Each stream has a generator of its own, so that a change of one rate does not move
            // the arrivals of the others.
            let stream = (traffic * rate_by_region.len() + region) as u64;
            let mut rng = StdRng::seed_from_u64(plan.seed.wrapping_mul(1_000).wrapping_add(stream));
            let mut at = Duration::ZERO;
            if *rate <= 0.0 {
                continue;
            }
            loop {
                let gap = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                at += Duration::from_secs_f64(gap);
                if at >= plan.duration {
                    break;
                }
                arrivals.push(Arrival {
                    at,
                    region,
                    traffic,
                    caller: rng.random_range(0..usize::from(plan.callers_per_region.max(1))),
                    token: format!("{:016x}", rng.random::<u64>()),
                });
            }
        }
    }
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

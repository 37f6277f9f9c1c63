//! Benchmarks the decisions of admission control and of the link shaper on one core. Run with
//! `cargo bench -p mangospindle-quota`.

#[allow(dead_code)]
#[path = "../../routing/tests/routing/fixture.rs"]
mod fixture;

use fixture::{HOME, REMOTE, config, ms, profile, topology};
use mangospindle_model::{EntryId, RequestClass, ServiceId};
use mangospindle_quota::{
    Action, Admission, AdmissionRequest, Decision, LinkShaper, Permit, RequestResult,
};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of requests of each benchmark.
const REQUEST_COUNT: u32 = 300_000;

/// Offers requests of the home region at a fixed ratio to the finished ones. The queues are empty
/// below a load of 1 and full above it.
fn bench_admission(name: &str, endpoints_per_service: usize, requests_per_finish: u32) {
    let start = ms(1_000);
    let mut admission = Admission::new(EntryId(0), start, 1);
    let shape = vec![vec![(1, endpoints_per_service as u16 * 2)], vec![(0, 0)]];
    let config = config(topology(&shape, 2, &[]), profile(100, 1.0));
    let version = config.version;
    admission.update_config(start, Arc::new(config));
    admission.confirm_config(start, version, Duration::ZERO);
    let mut running: VecDeque<Permit> = VecDeque::new();
    let capacity = endpoints_per_service * 2 * 3;
    let begun_at = Instant::now();
    let (mut refused, mut finished) = (0, 0);
    for i in 0..REQUEST_COUNT {
        let now = start + ms(20_000) + Duration::from_micros(u64::from(i) * 50);
        let request = AdmissionRequest {
            service: ServiceId(i as u16 % 2),
            class: RequestClass::ALL[i as usize / 2 % 3],
            home: HOME,
            remaining: ms(900),
        };
        match admission.request(now, request) {
            Decision::Dispatch(permit) => running.push_back(permit),
            Decision::Queued(_) => {}
            Decision::Refused(_) => refused += 1,
        }
        let full = running.len() + 2 > capacity / 2;
        if full && i % requests_per_finish == 0 {
            finished += 1;
            let result = RequestResult::Answered { first_byte: ms(5) };
            if let Some(permit) = running.pop_front() {
                collect_permits(admission.finish(now, permit, result), &mut running);
            }
        }
        if i % 1_000 == 0 {
            collect_permits(admission.expire(now), &mut running);
        }
    }
    let rate = f64::from(REQUEST_COUNT) / begun_at.elapsed().as_secs_f64();
    println!(
        "admission, {name} ({} endpoints): {rate:.0} requests/s, {finished} finished, {refused} refused at once",
        endpoints_per_service * 2
    );
}

/// Adds the permits of dispatched requests to `running`.
fn collect_permits(actions: Vec<Action>, running: &mut VecDeque<Permit>) {
    for action in actions {
        if let Action::Dispatch { permit, .. } = action {
            running.push_back(permit);
        }
    }
}

fn bench_link() {
    let mut shaper = LinkShaper::new(EntryId(0));
    shaper.update_config(
        Duration::ZERO,
        &config(
            topology(&vec![vec![(3, 2)], vec![(0, 0)]], 2, &[]),
            profile(1, 1.0),
        ),
    );
    let begun_at = Instant::now();
    let mut bytes = 0;
    for i in 0..10 * REQUEST_COUNT {
        let now = Duration::from_micros(u64::from(i) * 10);
        bytes += shaper.reserve(now, REMOTE, 1_400).map_or(0, |g| g.bytes);
    }
    let rate = f64::from(10 * REQUEST_COUNT) / begun_at.elapsed().as_secs_f64();
    println!("link shaper: {rate:.0} grants/s, {bytes} bytes granted");
}

fn main() {
    for endpoints in [4, 16, 64] {
        bench_admission("below capacity", endpoints, 1);
        bench_admission("three times the capacity", endpoints, 3);
    }
    bench_link();
}

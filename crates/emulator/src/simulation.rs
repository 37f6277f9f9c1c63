mod endpoints;
mod region_shift;
mod requests;

use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::event::{Event, Request};
use crate::{ClassReport, Policy, RegionReport, Report, Scenario};
use mangospindle_dispatch::DispatchSettings;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Window over which the distribution of requests between regions is counted. Also the time that
/// entries have, after they are told, to stop sending to a draining or evacuated endpoint.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Largest deviation of the service time from its mean, as a fraction of the mean.
const SERVICE_TIME_JITTER_FRACTION: f64 = 0.15;

/// Delay until an entry detects that an endpoint has stopped.
const CONNECT_ERROR_DELAY: Duration = Duration::from_millis(2);

/// Number of sends after which an entry no longer resends a rejected or failed request.
const MAX_ATTEMPTS: usize = 2;

/// Runs a scenario under a policy and reports the results.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.process_events();
    simulation.into_report()
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: SmallRng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    endpoints: Vec<Endpoint>,
    /// Entries, each with the index of its failure domain.
    entries: Vec<(usize, Entry)>,
    requests: Vec<Request>,
    evacuated: BTreeSet<String>,
    rate_factor: f64,
    report: Report,
    /// Time after which no request may reach a draining or evacuated endpoint, by endpoint index.
    withdrawn_at: BTreeMap<usize, Duration>,
    /// Number of runs by window, region of the caller and region of the endpoint.
    runs: BTreeMap<(u64, String, String), u32>,
    /// Numbers of requests answered within the target latency and of all requests, by second of
    /// submission.
    counts_by_second: Vec<(u32, u32)>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut endpoints = Vec::new();
        for (s, service) in scenario.services.iter().enumerate() {
            for (p, count) in service.endpoints.iter().enumerate() {
                for _ in 0..*count {
                    let n = endpoints.len() as u32;
                    let record = EndpointRecord {
                        instance: format!("e{n}"),
                        service: service.name.clone(),
                        address: ([10, 0, (n >> 8) as u8, n as u8], 80).into(),
                        failure_domain: scenario.domains[p].failure_domain.clone(),
                        slots: service.slots,
                        state: EndpointState::Ready,
                        cold_for: Duration::ZERO,
                    };
                    endpoints.push(Endpoint::new(s, p, record));
                }
            }
        }
        let regions: BTreeMap<String, String> = (scenario.domains.iter())
            .map(|p| (p.failure_domain.clone(), p.region.clone()))
            .collect();
        let mut entries = Vec::new();
        for (p, domain) in scenario.domains.iter().enumerate() {
            for _ in 0..domain.entries {
                let settings = DispatchSettings {
                    failure_domain: domain.failure_domain.clone(),
                    regions: regions.clone(),
                    retry_ratio: 0.2,
                    retry_slack: 58.0,
                };
                entries.push((p, Entry::new(policy, settings, rng.random())));
            }
        }
        let report = Report {
            classes: (scenario.classes.iter())
                .map(|c| ClassReport {
                    name: c.name.clone(),
                    ..ClassReport::default()
                })
                .collect(),
            regions: region_reports(scenario),
            ..Report::default()
        };
        Simulation {
            scenario,
            rng,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            sequence: 0,
            endpoints,
            entries,
            requests: Vec::new(),
            evacuated: BTreeSet::new(),
            rate_factor: 1.0,
            report,
            withdrawn_at: BTreeMap::new(),
            runs: BTreeMap::new(),
            counts_by_second: vec![(0, 0); scenario.duration.as_secs() as usize + 1],
        }
    }

    /// Updates the results of the region that a failure domain belongs to.
    fn update_region<F>(&mut self, domain: usize, update: F)
    where
        F: FnOnce(&mut RegionReport),
    {
        let region = &self.scenario.domains[domain].region;
        let mut reports = self.report.regions.iter_mut();
        if let Some(report) = reports.find(|r| r.name == *region) {
            update(report);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn process_events(&mut self) {
        self.apply_routes();
        self.apply_endpoint_list();
        for class in 0..self.scenario.classes.len() {
            for domain in 0..self.scenario.domains.len() {
                self.schedule_arrival(class, domain);
            }
        }
        for (n, (at, _)) in self.scenario.changes.iter().enumerate() {
            self.schedule(*at, Event::Change(n));
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle(event);
        }
    }

    /// Schedules the next request of a class in a failure domain.
    fn schedule_arrival(&mut self, class: usize, domain: usize) {
        let rate = self.scenario.classes[class].rate * self.rate_factor;
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate.max(1e-6);
        let after = Duration::from_secs_f64(gap.min(3600.0));
        if self.now + after < self.scenario.duration {
            self.schedule(after, Event::CallerArrival { class, domain });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallerArrival { class, domain } => {
                self.schedule_arrival(class, domain);
                self.submit(class, domain);
            }
            Event::CallerRetry { request } => self.dispatch(request),
            Event::Delivery { request, endpoint } => self.deliver(request, endpoint),
            Event::Completion {
                request,
                endpoint,
                incarnation,
            } => self.complete(request, endpoint, incarnation),
            Event::Response {
                request,
                rejected,
                load,
            } => self.handle_response(request, rejected, load),
            Event::ConnectionError {
                request,
                unreachable,
            } => self.handle_connection_error(request, unreachable),
            Event::Deadline { request } => self.time_out(request),
            Event::Change(n) => self.apply_change(n),
            Event::EndpointListUpdate => {
                self.apply_routes();
                self.apply_endpoint_list();
            }
        }
    }

    fn one_way_latency(&self, from: usize, to: usize) -> Duration {
        let (remote, local) = self.scenario.one_way_latencies;
        let domains = &self.scenario.domains;
        match domains[from].region == domains[to].region {
            true => local,
            false => remote,
        }
    }

    fn into_report(mut self) -> Report {
        let whole_windows = (self.scenario.duration.as_millis() / SHIFT_WINDOW.as_millis()) as u64;
        self.runs
            .retain(|(window, _, _), _| *window < whole_windows);
        self.report.largest_region_shift = region_shift::largest_region_shift(&self.runs);
        let counts = self
            .counts_by_second
            .iter()
            .filter(|(_, offered)| *offered > 0);
        self.report.on_target_fraction_by_second = counts
            .map(|(on_target, offered)| f64::from(*on_target) / f64::from(*offered))
            .collect();
        self.report
    }
}

/// Empty results of each region.
fn region_reports(scenario: &Scenario) -> Vec<RegionReport> {
    let names: BTreeSet<&String> = scenario.domains.iter().map(|d| &d.region).collect();
    let report = |name: &String| RegionReport {
        name: name.clone(),
        ..RegionReport::default()
    };
    names.into_iter().map(report).collect()
}

/// Returns the index of the first failure domain in the same region, as a number for the region.
fn region_index(scenario: &Scenario, domain: usize) -> u64 {
    let region = &scenario.domains[domain].region;
    let position = scenario.domains.iter().position(|p| p.region == *region);
    position.unwrap_or(domain) as u64
}

/// Hashes an object number (SplitMix64).
fn hash_object(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

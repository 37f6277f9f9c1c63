mod endpoints;
mod requests;
mod shift;

use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::event::{Event, Request};
use crate::{ClassReport, Policy, Report, Scenario};
use mangospindle_dispatch::DispatchSettings;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Window of the shift between regions.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Spread of the time of work around its mean.
const WORK_SPREAD: f64 = 0.15;

/// Time after which an entry notices that an endpoint does not answer at all.
const CONNECT_TIME: Duration = Duration::from_millis(2);

/// Most endpoints that a request is sent to.
const ATTEMPTS: usize = 2;

/// Plays a scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, policy, seed);
    simulation.play();
    simulation.finish()
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: SmallRng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    endpoints: Vec<Endpoint>,
    /// Entries with their places.
    entries: Vec<(usize, Entry)>,
    requests: Vec<Request>,
    evacuated: BTreeSet<String>,
    rate: f64,
    report: Report,
    /// When entries knew at the latest that an endpoint must get nothing.
    forbidden_at: BTreeMap<usize, Duration>,
    /// Runs by window, region of the caller and region of the endpoint.
    runs: BTreeMap<(u64, String, String), u32>,
    /// On target and asked, by second of the first request.
    by_second: Vec<(u32, u32)>,
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
                        failure_domain: scenario.places[p].failure_domain.clone(),
                        slots: service.slots,
                        state: EndpointState::Ready,
                        cold_for: Duration::ZERO,
                    };
                    endpoints.push(Endpoint::new(s, p, record));
                }
            }
        }
        let regions: BTreeMap<String, String> = (scenario.places.iter())
            .map(|p| (p.failure_domain.clone(), p.region.clone()))
            .collect();
        let mut entries = Vec::new();
        for (p, place) in scenario.places.iter().enumerate() {
            for _ in 0..place.entries {
                let settings = DispatchSettings {
                    failure_domain: place.failure_domain.clone(),
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
            rate: 1.0,
            report,
            forbidden_at: BTreeMap::new(),
            runs: BTreeMap::new(),
            by_second: vec![(0, 0); scenario.length.as_secs() as usize + 1],
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + after, self.sequence), event);
    }

    fn play(&mut self) {
        self.apply_routes();
        self.learn();
        for class in 0..self.scenario.classes.len() {
            for place in 0..self.scenario.places.len() {
                self.schedule_ask(class, place);
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

    /// Schedules the next caller of a class in a place.
    fn schedule_ask(&mut self, class: usize, place: usize) {
        let rate = self.scenario.classes[class].rate * self.rate;
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate.max(1e-6);
        let after = Duration::from_secs_f64(gap.min(3600.0));
        if self.now + after < self.scenario.length {
            self.schedule(after, Event::Ask { class, place });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask { class, place } => {
                self.schedule_ask(class, place);
                self.ask(class, place);
            }
            Event::Return { request } => self.send(request),
            Event::Arrive { request, endpoint } => self.arrive(request, endpoint),
            Event::Finish {
                request,
                endpoint,
                start,
            } => self.complete(request, endpoint, start),
            Event::Answer {
                request,
                rejected,
                load,
            } => self.answer(request, rejected, load),
            Event::Broken {
                request,
                unreachable,
            } => self.broken(request, unreachable),
            Event::Deadline { request } => self.time_out(request),
            Event::Change(n) => self.change(n),
            Event::Learn => {
                self.apply_routes();
                self.learn();
            }
        }
    }

    fn trip(&self, from: usize, to: usize) -> Duration {
        let (remote, near) = self.scenario.trips;
        let places = &self.scenario.places;
        match places[from].region == places[to].region {
            true => near,
            false => remote,
        }
    }

    fn finish(mut self) -> Report {
        let whole_windows = (self.scenario.length.as_millis() / SHIFT_WINDOW.as_millis()) as u64;
        self.runs
            .retain(|(window, _, _), _| *window < whole_windows);
        self.report.largest_shift = shift::largest_shift(&self.runs);
        let shares = self.by_second.iter().filter(|(_, asked)| *asked > 0);
        self.report.on_target_by_second = shares
            .map(|(on_target, asked)| f64::from(*on_target) / f64::from(*asked))
            .collect();
        self.report
    }
}

/// Number of the region of a place.
fn region_number(scenario: &Scenario, place: usize) -> u64 {
    let region = &scenario.places[place].region;
    let position = scenario.places.iter().position(|p| p.region == *region);
    position.unwrap_or(place) as u64
}

/// Spreads object numbers over all values, as a hash does.
fn mix(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

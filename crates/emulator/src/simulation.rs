use crate::endpoint::Endpoint;
use crate::entry::{Decision, Entry};
use crate::event::{Event, Request};
use crate::{Change, ClassReport, Policy, Report, Scenario};
use mangospindle_dispatch::{DispatchSettings, Outcome};
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::{EndpointService, RequestLimits, RouteTable};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
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

    fn ask(&mut self, class: usize, place: usize) {
        let c = &self.scenario.classes[class];
        let of_place = (0..self.entries.len()).filter(|e| self.entries[*e].0 == place);
        let of_place: Vec<usize> = of_place.collect();
        let entry = of_place[self.rng.random_range(0..of_place.len())];
        let region = region_number(self.scenario, place);
        let object = self.rng.random_range(0..c.objects.max(1)) + region * 1_000_000;
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            place,
            entry,
            object: mix(object + class as u64 * 1_000_000_000),
            asked_at: self.now,
            deadline: self.now + c.deadline,
            returned: false,
            sent_to: Vec::new(),
            ticket: None,
            sent_at: self.now,
            done: false,
        });
        self.report.classes[class].asked += 1;
        self.by_second[self.now.as_secs() as usize].1 += 1;
        self.schedule(c.deadline, Event::Deadline { request });
        self.send(request);
    }

    /// Lets the entry decide about a request.
    fn send(&mut self, number: usize) {
        let r = &self.requests[number];
        if r.done {
            return;
        }
        let class = &self.scenario.classes[r.class];
        let service = &self.scenario.services[class.service];
        let request = mangospindle_dispatch::Request {
            service: &service.name,
            affinity: Some(r.object),
            idempotent: class.idempotent,
            priority: 0,
            time_left: r.deadline.saturating_sub(self.now),
            target_latency: class.target_latency,
            home_regions: &[],
            tried: &[],
            repeated: !r.sent_to.is_empty(),
        };
        let entry = r.entry;
        let decision = self.entries[entry].1.choose(self.now, &request);
        match decision {
            Decision::Send(instance, ticket) => {
                let found = self
                    .endpoints
                    .iter()
                    .position(|e| e.record.instance == instance);
                self.requests[number].ticket = ticket;
                self.requests[number].sent_at = self.now;
                match found {
                    Some(endpoint) if self.endpoints[endpoint].alive => {
                        self.transmit(number, endpoint);
                    }
                    _ => {
                        let event = Event::Broken {
                            request: number,
                            unreachable: true,
                        };
                        self.schedule(CONNECT_TIME, event);
                    }
                }
            }
            Decision::Refuse(retry_after) => self.refuse(number, retry_after),
        }
    }

    fn transmit(&mut self, number: usize, endpoint: usize) {
        let trip = self.trip(self.requests[number].place, self.endpoints[endpoint].place);
        if !self.requests[number].sent_to.is_empty() {
            self.report.repeats += 1;
        }
        self.requests[number].sent_to.push(endpoint);
        let event = Event::Arrive {
            request: number,
            endpoint,
        };
        self.schedule(trip, event);
    }

    fn refuse(&mut self, number: usize, retry_after: Duration) {
        let r = &mut self.requests[number];
        if !r.returned && self.now + retry_after < r.deadline {
            r.returned = true;
            return self.schedule(retry_after, Event::Return { request: number });
        }
        r.done = true;
        let waited = self.now.saturating_sub(r.asked_at);
        let class = &mut self.report.classes[r.class];
        class.refused += 1;
        class.refused_after += waited;
    }

    fn arrive(&mut self, number: usize, at: usize) {
        if self.requests[number].done {
            return;
        }
        if !self.endpoints[at].alive {
            let event = Event::Broken {
                request: number,
                unreachable: true,
            };
            return self.schedule(CONNECT_TIME, event);
        }
        let cold = self.endpoints[at].count_cold(self.now);
        self.report.cold_peak = self.report.cold_peak.max(cold);
        if self.forbidden_at.get(&at).is_some_and(|t| *t < self.now) {
            self.report.misplaced += 1;
        }
        let service = &self.scenario.services[self.endpoints[at].service];
        let endpoint = &mut self.endpoints[at];
        match endpoint.running.len() < service.slots as usize {
            true => self.start(number, at),
            false if endpoint.waiting.len() < service.queue => endpoint.waiting.push_back(number),
            false => self.reply(number, at, true),
        }
    }

    fn start(&mut self, number: usize, at: usize) {
        let service = &self.scenario.services[self.endpoints[at].service];
        let object = self.requests[number].object;
        let known = self.endpoints[at].touch(object, service.remembered);
        let spread = self.rng.random_range(1.0 - WORK_SPREAD..1.0 + WORK_SPREAD);
        let part = if known { service.known_part } else { 1.0 };
        let work = service.work.mul_f64(spread * part);
        let class = self.requests[number].class;
        if !known {
            self.report.classes[class].unknown_runs += 1;
        }
        let from = &self.scenario.places[self.requests[number].place].region;
        let to = &self.scenario.places[self.endpoints[at].place].region;
        if from != to {
            self.report.classes[class].remote += 1;
        }
        let window = (self.now.as_millis() / SHIFT_WINDOW.as_millis()) as u64;
        *(self.runs.entry((window, from.clone(), to.clone()))).or_default() += 1;
        self.endpoints[at].running.push(number);
        let event = Event::Finish {
            request: number,
            endpoint: at,
            start: self.endpoints[at].start,
        };
        self.schedule(work, event);
    }

    fn complete(&mut self, number: usize, at: usize, start: u64) {
        let endpoint = &mut self.endpoints[at];
        if endpoint.start != start || !endpoint.running.contains(&number) {
            return;
        }
        endpoint.running.retain(|r| *r != number);
        if let Some(next) = endpoint.waiting.pop_front() {
            self.start(next, at);
        }
        self.reply(number, at, false);
    }

    fn reply(&mut self, number: usize, at: usize, rejected: bool) {
        let trip = self.trip(self.requests[number].place, self.endpoints[at].place);
        let load = self.endpoints[at].load();
        let event = Event::Answer {
            request: number,
            rejected,
            load,
        };
        self.schedule(trip, event);
    }

    fn answer(&mut self, number: usize, rejected: bool, load: mangospindle_dispatch::LoadReading) {
        let r = &self.requests[number];
        if r.done {
            return;
        }
        let elapsed = self.now.saturating_sub(r.sent_at);
        let load = Some(load);
        let outcome = match rejected {
            true => Outcome::Rejected { load },
            false => Outcome::Answered { elapsed, load },
        };
        self.report_outcome(number, outcome);
        let r = &mut self.requests[number];
        if rejected && r.sent_to.len() < ATTEMPTS {
            return self.send(number);
        }
        if rejected {
            let wait = r.deadline.saturating_sub(self.now) / 4;
            return self.refuse(number, wait);
        }
        r.done = true;
        let class = &self.scenario.classes[r.class];
        let on_target = self.now.saturating_sub(r.asked_at) <= class.target_latency;
        let report = &mut self.report.classes[r.class];
        match on_target {
            true => report.in_target += 1,
            false => report.late += 1,
        }
        self.by_second[r.asked_at.as_secs() as usize].0 += u32::from(on_target);
    }

    fn report_outcome(&mut self, number: usize, outcome: Outcome) {
        let r = &mut self.requests[number];
        let ticket = r.ticket.take();
        let instance = r
            .sent_to
            .last()
            .map(|e| self.endpoints[*e].record.instance.clone());
        let entry = &mut self.entries[r.entry].1;
        entry.finished(self.now, &instance.unwrap_or_default(), ticket, outcome);
    }

    fn broken(&mut self, number: usize, unreachable: bool) {
        if self.requests[number].done {
            return;
        }
        self.report_outcome(
            number,
            match unreachable {
                true => Outcome::Unreachable,
                false => Outcome::Failed,
            },
        );
        let r = &mut self.requests[number];
        let repeatable = unreachable || self.scenario.classes[r.class].idempotent;
        if repeatable && r.sent_to.len() < ATTEMPTS {
            return self.send(number);
        }
        r.done = true;
        self.report.classes[r.class].lost += 1;
    }

    fn time_out(&mut self, number: usize) {
        if self.requests[number].done {
            return;
        }
        self.report_outcome(number, Outcome::TimedOut);
        let r = &mut self.requests[number];
        r.done = true;
        self.report.classes[r.class].timed_out += 1;
        if let Some(at) = r.sent_to.last().copied() {
            self.endpoints[at].drop_request(number);
            let free = self.endpoints[at].running.len() < self.endpoints[at].record.slots as usize;
            if free && let Some(next) = self.endpoints[at].waiting.pop_front() {
                self.start(next, at);
            }
        }
    }

    fn change(&mut self, n: usize) {
        let lag = self.scenario.list_lag;
        match &self.scenario.changes[n].1 {
            Change::Kill(at) => {
                let held = self.endpoints[*at].kill();
                for request in held {
                    let event = Event::Broken {
                        request,
                        unreachable: false,
                    };
                    self.schedule(CONNECT_TIME, event);
                }
            }
            Change::Start(at) => {
                let service = &self.scenario.services[self.endpoints[*at].service];
                self.endpoints[*at].revive(self.now, service.cold_start);
            }
            Change::Drain(at) => {
                self.endpoints[*at].record.state = EndpointState::Draining;
                self.forbidden_at.insert(*at, self.now + lag + SHIFT_WINDOW);
            }
            Change::Evacuate(domain) => {
                self.evacuated.insert(domain.clone());
                for (at, e) in self.endpoints.iter().enumerate() {
                    if e.record.failure_domain == *domain {
                        self.forbidden_at.insert(at, self.now + lag + SHIFT_WINDOW);
                    }
                }
            }
            Change::Rate(factor) => self.rate = *factor,
        }
        self.schedule(lag, Event::Learn);
    }

    fn learn(&mut self) {
        let now = self.now;
        let alive = self.endpoints.iter().filter(|e| e.alive);
        let list: Vec<EndpointRecord> = alive
            .map(|e| EndpointRecord {
                cold_for: e.cold_until.saturating_sub(now),
                ..e.record.clone()
            })
            .collect();
        for (_, entry) in &mut self.entries {
            entry.learn(now, &list);
        }
    }

    fn apply_routes(&mut self) {
        let services = self.scenario.services.iter().map(|s| {
            let service = EndpointService {
                health_path: "/health".to_string(),
                max_connections: 330,
                cold_start: s.cold_start,
                cold_rate: s.cold_rate,
            };
            (s.name.clone(), service)
        });
        let routes = Arc::new(RouteTable {
            number: 1,
            services: services.collect(),
            limits: RequestLimits::default(),
            routes: BTreeMap::new(),
        });
        let (now, evacuated) = (self.now, self.evacuated.clone());
        let region = |p: usize| self.scenario.places[p].region.clone();
        let places: Vec<String> = self.entries.iter().map(|(p, _)| region(*p)).collect();
        for (n, (_, entry)) in self.entries.iter_mut().enumerate() {
            let same = places.iter().filter(|r| **r == places[n]).count();
            entry.dispatcher().update_entries(now, same as u32);
            let routes = Arc::clone(&routes);
            (entry.dispatcher()).update_routes(now, routes, evacuated.clone());
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
        self.report.largest_shift = largest_shift(&self.runs);
        let shares = self.by_second.iter().filter(|(_, asked)| *asked > 0);
        self.report.on_target_by_second = shares
            .map(|(on_target, asked)| f64::from(*on_target) / f64::from(*asked))
            .collect();
        self.report
    }
}

/// Largest part of a region's requests that run in another region than in the window before.
fn largest_shift(runs: &BTreeMap<(u64, String, String), u32>) -> f64 {
    let mut shares: BTreeMap<(String, u64), BTreeMap<String, f64>> = BTreeMap::new();
    for ((window, from, to), count) in runs {
        let by_region = shares.entry((from.clone(), *window)).or_default();
        *by_region.entry(to.clone()).or_default() += f64::from(*count);
    }
    let mut largest = 0.0_f64;
    for ((from, window), present) in &shares {
        let Some(before) = window
            .checked_sub(1)
            .and_then(|w| shares.get(&(from.clone(), w)))
        else {
            continue;
        };
        let total = |m: &BTreeMap<String, f64>| m.values().sum::<f64>().max(1.0);
        let (now, then) = (total(present), total(before));
        let moved: f64 = (present.iter())
            .map(|(to, n)| n / now - before.get(to).copied().unwrap_or(0.0) / then)
            .map(|change| change.max(0.0))
            .sum();
        largest = largest.max(moved);
    }
    largest
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

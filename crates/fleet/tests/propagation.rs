//! Time until every entry knows that an endpoint is draining.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::timing::{ENTRY_EXCHANGE_INTERVAL, LIST_EXCHANGE_INTERVAL};
use mangospindle_fleet::{
    EndpointCopy, EndpointList, EndpointRecord, EndpointState, EndpointUpdate, EntryAnnouncement,
    ExchangeRequest, Fleet, KnownVersions, PeerKey, PollRole, PollSchedule,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Endpoints on a page of the platform's list.
const PAGE_SIZE: usize = 50;

/// Time to read a page from another region, and for a request and its reply between processes.
const ROUND_TRIP: Duration = ms(42);

/// Resolution of the simulation.
const TICK: Duration = ms(5);

const POLLER: PeerKey = PeerKey(0);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Case {
    name: &'static str,
    endpoints: usize,
    failure_domains: usize,
    /// Calls per second that the platform accepts.
    max_rate: f64,
    entries: usize,
    /// Bound on the time from the change of the list until every entry knows of it.
    bound: Duration,
}

struct Entry {
    copy: EndpointCopy,
    next_exchange: Duration,
    replica: usize,
    /// When the entry learned that the endpoint is draining.
    informed_at: Option<Duration>,
}

/// A deployment in which all replicas but the first follow its list.
struct Simulation {
    now: Duration,
    schedule: PollSchedule,
    records: Vec<EndpointRecord>,
    failure_domains: usize,
    /// Polls in progress: when each is finished, when it started, and what it has read.
    polls: VecDeque<(Duration, Duration, Vec<EndpointRecord>)>,
    replicas: Vec<Fleet>,
    next_list_exchange: Vec<Duration>,
    entries: Vec<Entry>,
}

fn records(case: &Case) -> Vec<EndpointRecord> {
    let record = |n: usize| EndpointRecord {
        instance: format!("i-{n:05}"),
        service: "galeradas".to_string(),
        address: SocketAddr::from(([10, 0, (n / 256) as u8, n as u8], 8080)),
        failure_domain: format!("domain-{}", n % case.failure_domains),
        slots: 3,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
    };
    (0..case.endpoints).map(record).collect()
}

impl Simulation {
    fn new(case: &Case, rng: &mut StdRng) -> Simulation {
        let domains = (0..case.failure_domains).map(|n| format!("domain-{n}"));
        let mut phase = |interval: Duration| interval.mul_f64(rng.random_range(0.0..1.0));
        let replicas = case.failure_domains;
        Simulation {
            now: ms(10_000),
            schedule: PollSchedule::new(domains.collect(), case.max_rate),
            records: records(case),
            failure_domains: case.failure_domains,
            polls: VecDeque::new(),
            replicas: (0..replicas).map(|n| Fleet::new(n as u64 + 1)).collect(),
            next_list_exchange: (0..replicas)
                .map(|_| phase(LIST_EXCHANGE_INTERVAL))
                .collect(),
            entries: (0..case.entries)
                .map(|n| Entry {
                    copy: EndpointCopy::default(),
                    next_exchange: phase(ENTRY_EXCHANGE_INTERVAL),
                    replica: n % replicas,
                    informed_at: None,
                })
                .collect(),
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += TICK;
            self.poll();
            self.exchange_lists();
            self.exchange_with_entries();
        }
    }

    fn poll(&mut self) {
        let age = self.replicas[0].endpoint_list_age(self.now);
        if self.polls.is_empty() && self.schedule.is_due(self.now, PollRole::Leader, age) {
            let by_domain = !self.schedule.domains_to_read().is_empty();
            let pages = self.records.len().div_ceil(PAGE_SIZE);
            let (in_sequence, calls) = match by_domain {
                true => {
                    let pages = pages.div_ceil(self.failure_domains);
                    (pages, pages * self.failure_domains)
                }
                false => (pages, pages),
            };
            let finished = self.now + ROUND_TRIP * in_sequence as u32;
            self.schedule.record_calls(calls as u32);
            // An endpoint that drains after the start of the poll is on a page that was read before.
            self.polls
                .push_back((finished, self.now, self.records.clone()));
        }
        if self.polls.front().is_some_and(|poll| poll.0 <= self.now) {
            let (finished, started, records) = self.polls.pop_front().unwrap();
            let list = EndpointList::from_reading(records, started, finished);
            self.replicas[0].set_endpoint_list(list);
        }
    }

    fn exchange_lists(&mut self) {
        for n in 1..self.replicas.len() {
            if self.now < self.next_list_exchange[n] {
                continue;
            }
            let request = self.replicas[n].request_to(POLLER, false);
            let reply = self.replicas[0].respond(self.now, request, Vec::new());
            self.replicas[n].merge(self.now + ROUND_TRIP, self.now, POLLER, reply);
            self.next_list_exchange[n] = self.now + ROUND_TRIP + LIST_EXCHANGE_INTERVAL;
        }
    }

    fn exchange_with_entries(&mut self) {
        for (n, entry) in self.entries.iter_mut().enumerate() {
            if self.now < entry.next_exchange {
                continue;
            }
            let request = ExchangeRequest {
                entry: Some(EntryAnnouncement {
                    name: format!("e{n}"),
                    address: SocketAddr::from(([10, 1, (n / 256) as u8, n as u8], 80)),
                    failure_domain: "domain-0".to_string(),
                    region: "vasco".to_string(),
                    incarnation: 1,
                    accepting: true,
                }),
                wants_entries: false,
                known_list: entry.copy.digest(),
                differences: Some(KnownVersions::default()),
            };
            let mut reply = self.replicas[entry.replica].respond(self.now, request, Vec::new());
            let arrives_at = self.now + ROUND_TRIP;
            let drains = |e: &EndpointRecord| e.state == EndpointState::Draining;
            let informed = match entry.copy.apply(self.now, &mut reply).unwrap() {
                EndpointUpdate::Unchanged => false,
                EndpointUpdate::Whole(list) => list.iter().any(drains),
                EndpointUpdate::Difference(difference) => difference.changed.iter().any(drains),
            };
            if informed {
                entry.informed_at.get_or_insert(arrives_at);
            }
            entry.next_exchange = arrives_at + ENTRY_EXCHANGE_INTERVAL;
        }
    }
}

/// Guards against requests to endpoints that the platform's list has shown as draining for 3 s, the time
/// that the platform allows. At 273 entries it took up to 3.3 s when the pages of the list were read one
/// after the other and replicas exchanged their views each 0.6 s.
#[test]
fn draining_endpoints_are_known_everywhere_in_time() {
    const SEED: u64 = 24;
    const CHANGES: usize = 4;
    let cases = [
        Case {
            name: "48 endpoints, 9 entries",
            endpoints: 48,
            failure_domains: 6,
            max_rate: 47.0,
            entries: 9,
            bound: ms(2_000),
        },
        Case {
            name: "1,212 endpoints, 273 entries",
            endpoints: 1_212,
            failure_domains: 9,
            max_rate: 2_100.0,
            entries: 273,
            bound: ms(2_000),
        },
        Case {
            name: "9,680 endpoints",
            endpoints: 9_680,
            failure_domains: 15,
            max_rate: 2_100.0,
            entries: 30,
            bound: ms(2_500),
        },
    ];
    let mut rng = StdRng::seed_from_u64(SEED);
    for case in cases {
        for change in 0..CHANGES {
            let mut simulation = Simulation::new(&case, &mut rng);
            simulation.run_until(simulation.now + ms(4_000) + ms(rng.random_range(0..700)));
            let drained_at = simulation.now;
            simulation.records[change].state = EndpointState::Draining;
            simulation.run_until(drained_at + ms(5_000));
            let times = simulation.entries.iter().map(|e| {
                let informed_at = e.informed_at.expect("every entry is informed");
                informed_at - drained_at
            });
            let last = times.max().unwrap();
            assert!(last <= case.bound, "{}: {last:?}", case.name);
        }
    }
}

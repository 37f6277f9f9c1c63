//! Random exchanges between replicas and entries, with lost, late and repeated messages, restarts and
//! changes of the replica that polls the platform's list.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{
    EndpointCopy, EndpointList, EndpointRecord, EndpointState, EndpointUpdate, EntryAnnouncement,
    ExchangeReply, ExchangeRequest, Fleet, KnownVersions, PeerKey,
};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const STEPS: usize = 100_000;
const SEED: u64 = 25;
const REPLICAS: usize = 3;
const ENTRIES: usize = 4;
const MAX_ENDPOINTS: usize = 40;

/// Messages that are on the way at the same time, at most.
const MAX_MESSAGES: usize = 12;

/// Rounds of exchanges without further changes after which all copies must be equal.
const FINAL_ROUNDS: usize = 4;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A copy of the list as it matters to requests: instances, and which of them are draining.
type Content = BTreeMap<String, EndpointState>;

/// An entry: the version it holds, and its endpoints.
#[derive(Default)]
struct Entry {
    copy: EndpointCopy,
    endpoints: Content,
}

impl Entry {
    /// Applies a reply and returns whether it contained a difference.
    fn apply(&mut self, requested_at: Duration, mut reply: ExchangeReply) -> bool {
        match self.copy.apply(requested_at, &mut reply) {
            Ok(EndpointUpdate::Unchanged) => {}
            Ok(EndpointUpdate::Whole(list)) => self.endpoints = content(&list),
            Ok(EndpointUpdate::Difference(difference)) => {
                for instance in difference.removed {
                    self.endpoints.remove(&instance);
                }
                self.endpoints.extend(content(&difference.changed));
                return true;
            }
            Err(e) => panic!("{e}"),
        }
        false
    }
}

/// A reply on its way to a replica or an entry.
struct Message {
    from: usize,
    to: Receiver,
    requested_at: Duration,
    reply: Vec<u8>,
}

#[derive(Clone, Copy)]
enum Receiver {
    Replica(usize),
    Entry(usize),
}

struct World {
    rng: StdRng,
    now: Duration,
    /// Listed endpoints. Their `cold_for` counts from the start of the test.
    platform: BTreeMap<String, EndpointRecord>,
    /// Contents of all readings. Every copy must equal one of them.
    readings: BTreeSet<Vec<(String, bool)>>,
    replicas: Vec<Fleet>,
    /// The replica that polls the platform's list.
    poller: usize,
    entries: Vec<Entry>,
    messages: Vec<Message>,
    /// Number of differences that entries have applied.
    differences: usize,
}

fn content(records: &[EndpointRecord]) -> Content {
    records
        .iter()
        .map(|e| (e.instance.clone(), e.state))
        .collect()
}

fn key(content: &Content) -> Vec<(String, bool)> {
    let draining = |state: &EndpointState| *state == EndpointState::Draining;
    content
        .iter()
        .map(|(i, s)| (i.clone(), draining(s)))
        .collect()
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: StdRng::seed_from_u64(seed),
            now: ms(1_000_000),
            platform: BTreeMap::new(),
            readings: BTreeSet::from([Vec::new()]),
            replicas: (0..REPLICAS).map(|n| Fleet::new(n as u64 + 1)).collect(),
            poller: 0,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            messages: Vec::new(),
            differences: 0,
        }
    }

    fn step(&mut self) {
        self.now += ms(self.rng.random_range(1..60));
        match self.rng.random_range(0..1000) {
            0..150 => self.change_platform(),
            150..250 => self.poll(self.poller),
            250..600 => self.request(),
            600..970 => self.deliver(),
            970..985 => self.messages.clear(),
            985..994 => self.poller = self.rng.random_range(0..REPLICAS),
            994..997 => {
                let replica = self.rng.random_range(0..REPLICAS);
                self.replicas[replica] = Fleet::new(self.rng.random());
            }
            _ => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.entries[entry] = Entry::default();
            }
        }
    }

    fn change_platform(&mut self) {
        let n = self.rng.random_range(0..MAX_ENDPOINTS);
        let instance = format!("i-{n:02}");
        let cold_for = self.now + ms(self.rng.random_range(0..4) * 900);
        let state = match self.rng.random_range(0..4) {
            0 => {
                self.platform.remove(&instance);
                return;
            }
            1 => EndpointState::Draining,
            _ => EndpointState::Ready,
        };
        let record = EndpointRecord {
            instance: instance.clone(),
            service: "galeradas".to_string(),
            address: SocketAddr::from(([10, 0, 0, n as u8], 8080)),
            failure_domain: "bilbao-a".to_string(),
            slots: 3,
            state,
            cold_for,
        };
        self.platform.insert(instance, record);
    }

    fn poll(&mut self, replica: usize) {
        let mut endpoints: Vec<EndpointRecord> = self.platform.values().cloned().collect();
        for endpoint in &mut endpoints {
            endpoint.cold_for = endpoint.cold_for.saturating_sub(self.now);
        }
        self.readings.insert(key(&content(&endpoints)));
        self.replicas[replica].set_endpoint_list(EndpointList::new(endpoints, self.now));
    }

    fn request(&mut self) {
        if self.messages.len() >= MAX_MESSAGES {
            return;
        }
        let from = self.rng.random_range(0..REPLICAS);
        let to = match self.rng.random_bool(0.5) {
            true => Receiver::Entry(self.rng.random_range(0..ENTRIES)),
            false => Receiver::Replica(self.rng.random_range(0..REPLICAS)),
        };
        self.send_request(from, to);
    }

    fn send_request(&mut self, from: usize, to: Receiver) {
        let request = match to {
            Receiver::Replica(to) => {
                self.replicas[to].request_to(PeerKey(from as u32), self.rng.random_bool(0.5))
            }
            Receiver::Entry(n) => ExchangeRequest {
                entry: Some(EntryAnnouncement {
                    name: format!("e{n}"),
                    address: SocketAddr::from(([10, 1, 0, n as u8], 80)),
                    failure_domain: "bilbao-a".to_string(),
                    region: "vasco".to_string(),
                    incarnation: 1,
                    accepting: self.rng.random_bool(0.8),
                }),
                wants_entries: false,
                known_list: self.entries[n].copy.digest(),
                differences: Some(KnownVersions::default()),
            },
        };
        let request = ExchangeRequest::decode(&request.encode()).unwrap();
        let reply = self.replicas[from].respond(self.now, request, Vec::new());
        self.messages.push(Message {
            from,
            to,
            requested_at: self.now,
            reply: reply.encode(),
        });
    }

    /// Delivers a random message, sometimes without removing it.
    fn deliver(&mut self) {
        let Some(index) = (0..self.messages.len()).choose(&mut self.rng) else {
            return;
        };
        let again = self.rng.random_bool(0.1);
        let message = match again {
            true => &self.messages[index],
            false => &self.messages.swap_remove(index),
        };
        let reply = ExchangeReply::decode(&message.reply).unwrap();
        match message.to {
            Receiver::Replica(to) => {
                let from = PeerKey(message.from as u32);
                self.replicas[to].merge(self.now, message.requested_at, from, reply);
            }
            Receiver::Entry(to) => {
                let differs = self.entries[to].apply(message.requested_at, reply);
                self.differences += usize::from(differs);
            }
        }
    }

    fn replica_content(&self, replica: usize) -> Content {
        let list = self.replicas[replica].endpoint_list();
        list.map_or_else(Content::new, |l| content(&l.endpoints))
    }

    fn check(&self, step: usize) {
        for n in 0..REPLICAS {
            let held = key(&self.replica_content(n));
            assert!(self.readings.contains(&held), "step {step}: replica {n}");
        }
        for (n, entry) in self.entries.iter().enumerate() {
            let held = key(&entry.endpoints);
            assert!(self.readings.contains(&held), "step {step}: entry {n}");
        }
    }

    /// Stops all changes and lets every process exchange with every replica.
    fn settle(&mut self) {
        self.messages.clear();
        self.now += ms(1_000);
        self.poll(0);
        for _ in 0..FINAL_ROUNDS {
            for from in 0..REPLICAS {
                let replicas = (0..REPLICAS).map(Receiver::Replica);
                let receivers: Vec<_> = replicas.chain((0..ENTRIES).map(Receiver::Entry)).collect();
                for to in receivers {
                    self.now += ms(10);
                    self.send_request(from, to);
                    while !self.messages.is_empty() {
                        self.deliver();
                    }
                }
            }
        }
        let expected: Vec<EndpointRecord> = self.platform.values().cloned().collect();
        let expected = content(&expected);
        for n in 0..REPLICAS {
            assert_eq!(self.replica_content(n), expected, "replica {n}");
        }
        for (n, entry) in self.entries.iter().enumerate() {
            assert_eq!(entry.endpoints, expected, "entry {n}");
        }
    }
}

/// Guards against a copy of the endpoint list that mixes two versions, for example with an endpoint that
/// has left, and against copies that stay behind once messages arrive again.
#[test]
fn copies_always_equal_a_reading_and_converge() {
    const SETTLE_INTERVAL: usize = 2_500;
    let mut world = World::new(SEED);
    for step in 1..=STEPS {
        world.step();
        if step % 10 == 0 {
            world.check(step);
        }
        if step % SETTLE_INTERVAL == 0 {
            world.settle();
        }
    }
    let differences = world.differences;
    assert!(differences > 1_000, "only {differences} differences");
}

//! What endpoints do, and what entries learn of them.

use super::{CONNECT_TIME, SHIFT_WINDOW, Simulation, WORK_SPREAD};
use crate::Change;
use crate::event::Event;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::{EndpointService, RequestLimits, RouteTable};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, number: usize, at: usize) {
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

    pub(super) fn start(&mut self, number: usize, at: usize) {
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

    pub(super) fn complete(&mut self, number: usize, at: usize, start: u64) {
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

    pub(super) fn reply(&mut self, number: usize, at: usize, rejected: bool) {
        let trip = self.trip(self.requests[number].place, self.endpoints[at].place);
        let load = self.endpoints[at].load();
        let event = Event::Answer {
            request: number,
            rejected,
            load,
        };
        self.schedule(trip, event);
    }

    pub(super) fn change(&mut self, n: usize) {
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

    pub(super) fn learn(&mut self) {
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

    pub(super) fn apply_routes(&mut self) {
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
            entry.dispatcher().update_region_entries(now, same as u32);
            let routes = Arc::clone(&routes);
            (entry.dispatcher()).update_routes(now, routes, evacuated.clone());
        }
    }
}

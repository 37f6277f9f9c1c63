//! Emulates endpoints and the distribution of their state to entries.

use super::{CONNECT_ERROR_DELAY, SERVICE_TIME_JITTER_FRACTION, SHIFT_WINDOW, Simulation};
use crate::Change;
use crate::event::Event;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::{EndpointService, RouteTable};
use rand::Rng;
use std::sync::Arc;

impl Simulation<'_> {
    pub(super) fn deliver(&mut self, request_index: usize, endpoint_index: usize) {
        if self.requests[request_index].done {
            return;
        }
        if !self.endpoints[endpoint_index].alive {
            let event = Event::ConnectionError {
                request: request_index,
                unreachable: true,
            };
            return self.schedule(CONNECT_ERROR_DELAY, event);
        }
        let cold = self.endpoints[endpoint_index].record_cold_arrival(self.now);
        self.report.cold_peak_per_second = self.report.cold_peak_per_second.max(cold);
        if self
            .withdrawn_at
            .get(&endpoint_index)
            .is_some_and(|t| *t < self.now)
        {
            self.report.sent_to_leaving += 1;
        }
        let service = &self.scenario.services[self.endpoints[endpoint_index].service];
        let endpoint = &mut self.endpoints[endpoint_index];
        match endpoint.running.len() < service.slots as usize {
            true => self.run_request(request_index, endpoint_index),
            false if endpoint.waiting.len() < service.queue_limit => {
                endpoint.waiting.push_back(request_index)
            }
            false => self.respond(request_index, endpoint_index, true),
        }
    }

    pub(super) fn run_request(&mut self, request_index: usize, endpoint_index: usize) {
        let service = &self.scenario.services[self.endpoints[endpoint_index].service];
        let object = self.requests[request_index].object;
        let in_working_set = self.endpoints[endpoint_index].touch(object, service.working_set_size);
        let jitter = self
            .rng
            .random_range(1.0 - SERVICE_TIME_JITTER_FRACTION..1.0 + SERVICE_TIME_JITTER_FRACTION);
        let work_fraction = if in_working_set {
            service.working_set_time_fraction
        } else {
            1.0
        };
        let work = service.service_time.mul_f64(jitter * work_fraction);
        let class = self.requests[request_index].class;
        if !in_working_set {
            self.report.classes[class].working_set_misses += 1;
            let domain = self.requests[request_index].domain;
            self.update_region(domain, |r| r.working_set_misses += 1);
        }
        let from = &self.scenario.domains[self.requests[request_index].domain].region;
        let to = &self.scenario.domains[self.endpoints[endpoint_index].domain].region;
        if from != to {
            self.report.classes[class].cross_region += 1;
        }
        let window = (self.now.as_millis() / SHIFT_WINDOW.as_millis()) as u64;
        *(self.runs.entry((window, from.clone(), to.clone()))).or_default() += 1;
        self.endpoints[endpoint_index].running.push(request_index);
        let event = Event::Completion {
            request: request_index,
            endpoint: endpoint_index,
            incarnation: self.endpoints[endpoint_index].incarnation,
        };
        self.schedule(work, event);
    }

    pub(super) fn complete(
        &mut self,
        request_index: usize,
        endpoint_index: usize,
        incarnation: u64,
    ) {
        let endpoint = &mut self.endpoints[endpoint_index];
        if endpoint.incarnation != incarnation || !endpoint.running.contains(&request_index) {
            return;
        }
        endpoint.running.retain(|r| *r != request_index);
        if let Some(next) = endpoint.waiting.pop_front() {
            self.run_request(next, endpoint_index);
        }
        self.respond(request_index, endpoint_index, false);
    }

    pub(super) fn respond(&mut self, request_index: usize, endpoint_index: usize, rejected: bool) {
        let one_way_latency = self.one_way_latency(
            self.requests[request_index].domain,
            self.endpoints[endpoint_index].domain,
        );
        let load = self.endpoints[endpoint_index].load();
        let event = Event::Response {
            request: request_index,
            rejected,
            load,
        };
        self.schedule(one_way_latency, event);
    }

    pub(super) fn apply_change(&mut self, n: usize) {
        let delay = self.scenario.propagation_delay;
        match &self.scenario.changes[n].1 {
            Change::Kill(endpoint_index) => {
                let lost_requests = self.endpoints[*endpoint_index].kill();
                for request in lost_requests {
                    let event = Event::ConnectionError {
                        request,
                        unreachable: false,
                    };
                    self.schedule(CONNECT_ERROR_DELAY, event);
                }
            }
            Change::Start(endpoint_index) => {
                let service = &self.scenario.services[self.endpoints[*endpoint_index].service];
                self.endpoints[*endpoint_index].restart(self.now, service.cold_start);
            }
            Change::Drain(endpoint_index) => {
                self.endpoints[*endpoint_index].record.state = EndpointState::Draining;
                self.withdrawn_at
                    .insert(*endpoint_index, self.now + delay + SHIFT_WINDOW);
            }
            Change::Evacuate(evacuated_domain) => {
                self.evacuated.insert(evacuated_domain.clone());
                for (endpoint_index, e) in self.endpoints.iter().enumerate() {
                    if e.record.failure_domain == *evacuated_domain {
                        self.withdrawn_at
                            .insert(endpoint_index, self.now + delay + SHIFT_WINDOW);
                    }
                }
            }
            Change::Rate(factor) => self.rate_factor = *factor,
        }
        self.schedule(delay, Event::EndpointListUpdate);
    }

    pub(super) fn apply_endpoint_list(&mut self) {
        let now = self.now;
        let alive = self.endpoints.iter().filter(|e| e.alive);
        let list: Vec<EndpointRecord> = alive
            .map(|e| EndpointRecord {
                cold_for: e.cold_until.saturating_sub(now),
                ..e.record.clone()
            })
            .collect();
        for (_, entry) in &mut self.entries {
            entry.apply_endpoint_list(now, &list);
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
            ..RouteTable::default()
        });
        let (now, evacuated) = (self.now, self.evacuated.clone());
        let region = |p: usize| self.scenario.domains[p].region.clone();
        let entry_regions: Vec<String> = self.entries.iter().map(|(p, _)| region(*p)).collect();
        for (n, (_, entry)) in self.entries.iter_mut().enumerate() {
            let entries_in_region = entry_regions
                .iter()
                .filter(|r| **r == entry_regions[n])
                .count();
            entry
                .dispatcher()
                .update_region_entries(now, entries_in_region as u32);
            let routes = Arc::clone(&routes);
            (entry.dispatcher()).update_routes(now, routes, evacuated.clone());
        }
    }
}

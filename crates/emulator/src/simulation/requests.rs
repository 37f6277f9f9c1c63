//! Emulates callers and entries.

use super::{CONNECT_ERROR_DELAY, MAX_ATTEMPTS, Simulation, hash_object, region_index};
use crate::entry::Decision;
use crate::event::{Event, Request};
use mangospindle_dispatch::{LoadReading, Outcome};
use rand::Rng;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn submit(&mut self, class: usize, domain: usize) {
        let c = &self.scenario.classes[class];
        let domain_entries = (0..self.entries.len()).filter(|e| self.entries[*e].0 == domain);
        let domain_entries: Vec<usize> = domain_entries.collect();
        let entry = domain_entries[self.rng.random_range(0..domain_entries.len())];
        let region = region_index(self.scenario, domain);
        let object = self.rng.random_range(0..c.objects.max(1)) + region * 1_000_000;
        let request = self.requests.len();
        self.requests.push(Request {
            class,
            domain,
            entry,
            object: hash_object(object + class as u64 * 1_000_000_000),
            submitted_at: self.now,
            deadline: self.now + c.deadline,
            caller_retried: false,
            sent_to: Vec::new(),
            ticket: None,
            sent_at: self.now,
            done: false,
        });
        self.report.classes[class].offered += 1;
        self.update_region(domain, |r| r.offered += 1);
        self.counts_by_second[self.now.as_secs() as usize].1 += 1;
        self.schedule(c.deadline, Event::Deadline { request });
        self.dispatch(request);
    }

    /// Asks the entry for a decision about a request and carries it out.
    pub(super) fn dispatch(&mut self, request_index: usize) {
        let r = &self.requests[request_index];
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
            workspace_priority: None,
            time_left: r.deadline.saturating_sub(self.now),
            stop_limit: None,
            target_latency: class.target_latency,
            home_regions: &[],
            tried: &[],
            repeated: !r.sent_to.is_empty(),
        };
        let entry = r.entry;
        let decision = self.entries[entry].1.choose(self.now, &request);
        match decision {
            Decision::Send(instance, ticket) => {
                let target = self
                    .endpoints
                    .iter()
                    .position(|e| e.record.instance == instance);
                self.requests[request_index].ticket = ticket;
                self.requests[request_index].sent_at = self.now;
                match target {
                    Some(endpoint) if self.endpoints[endpoint].alive => {
                        self.transmit(request_index, endpoint);
                    }
                    _ => {
                        let event = Event::ConnectionError {
                            request: request_index,
                            unreachable: true,
                        };
                        self.schedule(CONNECT_ERROR_DELAY, event);
                    }
                }
            }
            Decision::Refuse(retry_after) => self.refuse(request_index, retry_after),
        }
    }

    pub(super) fn transmit(&mut self, request_index: usize, endpoint: usize) {
        let one_way_latency = self.one_way_latency(
            self.requests[request_index].domain,
            self.endpoints[endpoint].domain,
        );
        if !self.requests[request_index].sent_to.is_empty() {
            self.report.retries += 1;
        }
        self.requests[request_index].sent_to.push(endpoint);
        let event = Event::Delivery {
            request: request_index,
            endpoint,
        };
        self.schedule(one_way_latency, event);
    }

    pub(super) fn refuse(&mut self, request_index: usize, retry_after: Duration) {
        let r = &mut self.requests[request_index];
        if !r.caller_retried && self.now + retry_after < r.deadline {
            r.caller_retried = true;
            return self.schedule(
                retry_after,
                Event::CallerRetry {
                    request: request_index,
                },
            );
        }
        r.done = true;
        let waited = self.now.saturating_sub(r.submitted_at);
        let class = &mut self.report.classes[r.class];
        class.refused += 1;
        class.refusal_time_total += waited;
    }

    pub(super) fn handle_response(
        &mut self,
        request_index: usize,
        rejected: bool,
        load: LoadReading,
    ) {
        let r = &self.requests[request_index];
        if r.done {
            return;
        }
        let elapsed = self.now.saturating_sub(r.sent_at);
        let load = Some(load);
        let outcome = match rejected {
            true => Outcome::Rejected { load },
            false => Outcome::Answered { elapsed, load },
        };
        self.report_outcome(request_index, outcome);
        let r = &mut self.requests[request_index];
        if rejected && r.sent_to.len() < MAX_ATTEMPTS {
            return self.dispatch(request_index);
        }
        if rejected {
            let wait = r.deadline.saturating_sub(self.now) / 4;
            return self.refuse(request_index, wait);
        }
        r.done = true;
        let class = &self.scenario.classes[r.class];
        let on_target = self.now.saturating_sub(r.submitted_at) <= class.target_latency;
        let report = &mut self.report.classes[r.class];
        match on_target {
            true => report.within_target += 1,
            false => report.late += 1,
        }
        self.counts_by_second[r.submitted_at.as_secs() as usize].0 += u32::from(on_target);
        let domain = r.domain;
        self.update_region(domain, |r| r.within_target += u32::from(on_target));
    }

    pub(super) fn report_outcome(&mut self, request_index: usize, outcome: Outcome) {
        let r = &mut self.requests[request_index];
        let ticket = r.ticket.take();
        let instance = r
            .sent_to
            .last()
            .map(|e| self.endpoints[*e].record.instance.clone());
        let entry = &mut self.entries[r.entry].1;
        entry.handle_outcome(self.now, &instance.unwrap_or_default(), ticket, outcome);
    }

    pub(super) fn handle_connection_error(&mut self, request_index: usize, unreachable: bool) {
        if self.requests[request_index].done {
            return;
        }
        self.report_outcome(
            request_index,
            match unreachable {
                true => Outcome::Unreachable,
                false => Outcome::Failed,
            },
        );
        let r = &mut self.requests[request_index];
        let retryable = unreachable || self.scenario.classes[r.class].idempotent;
        if retryable && r.sent_to.len() < MAX_ATTEMPTS {
            return self.dispatch(request_index);
        }
        r.done = true;
        self.report.classes[r.class].lost += 1;
    }

    pub(super) fn time_out(&mut self, request_index: usize) {
        if self.requests[request_index].done {
            return;
        }
        self.report_outcome(request_index, Outcome::TimedOut);
        let r = &mut self.requests[request_index];
        r.done = true;
        self.report.classes[r.class].timed_out += 1;
        if let Some(endpoint_index) = r.sent_to.last().copied() {
            self.endpoints[endpoint_index].remove_request(request_index);
            let has_free_slot = self.endpoints[endpoint_index].running.len()
                < self.endpoints[endpoint_index].record.slots as usize;
            if has_free_slot && let Some(next) = self.endpoints[endpoint_index].waiting.pop_front()
            {
                self.run_request(next, endpoint_index);
            }
        }
    }
}

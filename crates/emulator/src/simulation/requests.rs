//! What callers and entries do.

use super::{ATTEMPTS, CONNECT_TIME, Simulation, mix, region_number};
use crate::entry::Decision;
use crate::event::{Event, Request};
use mangospindle_dispatch::{LoadReading, Outcome};
use rand::Rng;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn ask(&mut self, class: usize, place: usize) {
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
    pub(super) fn send(&mut self, number: usize) {
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

    pub(super) fn transmit(&mut self, number: usize, endpoint: usize) {
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

    pub(super) fn refuse(&mut self, number: usize, retry_after: Duration) {
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

    pub(super) fn answer(&mut self, number: usize, rejected: bool, load: LoadReading) {
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

    pub(super) fn report_outcome(&mut self, number: usize, outcome: Outcome) {
        let r = &mut self.requests[number];
        let ticket = r.ticket.take();
        let instance = r
            .sent_to
            .last()
            .map(|e| self.endpoints[*e].record.instance.clone());
        let entry = &mut self.entries[r.entry].1;
        entry.finished(self.now, &instance.unwrap_or_default(), ticket, outcome);
    }

    pub(super) fn broken(&mut self, number: usize, unreachable: bool) {
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

    pub(super) fn time_out(&mut self, number: usize) {
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
}

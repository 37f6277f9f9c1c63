use super::Dispatcher;
use super::update::DEFAULT_COLD_START;
use crate::{LoadReading, Outcome, SendTicket};
use std::time::Duration;

/// Failures that one request without any answer stands for.
const SILENCE_WEIGHT: u32 = 2;

impl Dispatcher {
    /// Records the end of a request that [`Dispatcher::choose`] sent to an endpoint. An endpoint
    /// that is gone meanwhile is ignored.
    pub fn record_outcome(&mut self, now: Duration, ticket: SendTicket, outcome: Outcome) {
        let Some(e) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        e.load.ended();
        let service = self.routes.services.get(&e.service);
        let cold_start = service.map_or(DEFAULT_COLD_START, |s| s.cold_start);
        match outcome {
            Outcome::Answered { elapsed, load } => {
                e.succeeded(now, cold_start);
                if let Some(object) = ticket.affinity {
                    e.warm.touch(object);
                }
                report(e, now, load);
                if let Some(service) = self.services.get_mut(&e.service)
                    && !e.is_cold(now)
                {
                    service.times.record(ticket.known, ticket.queue, elapsed);
                }
            }
            Outcome::EndpointError { load } => {
                e.failed(now, 0);
                report(e, now, load);
            }
            Outcome::Rejected { load } => {
                // Without a full queue there was no need to reject the request.
                if load.is_none_or(|l| l.waiting == 0) {
                    e.failed(now, 0);
                }
                report(e, now, load);
            }
            Outcome::Misdirected => e.misdirected = true,
            Outcome::Unreachable => e.unreachable(now),
            Outcome::Failed => e.failed(now, 1),
            Outcome::TimedOut => e.failed(now, SILENCE_WEIGHT),
            Outcome::Cancelled => {}
        }
    }
}

fn report(e: &mut super::endpoint::Endpoint, now: Duration, load: Option<LoadReading>) {
    if let Some(load) = load {
        e.slots = load.slots.max(1);
        e.load.report(now, load);
    }
}

use super::Dispatcher;
use crate::{LoadReading, Outcome, SendTicket};
use std::time::Duration;

/// Failures that one request without any answer stands for.
const SILENCE_WEIGHT: u32 = 2;

impl Dispatcher {
    /// Records the end of a request that [`Dispatcher::choose`] sent to an endpoint. An endpoint
    /// that is gone meanwhile is ignored.
    pub fn finished(&mut self, now: Duration, ticket: SendTicket, outcome: Outcome) {
        let Some(e) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        e.load.ended();
        match outcome {
            Outcome::Answered { elapsed, load } => {
                e.succeeded();
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
            Outcome::Erred { load } => {
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
            Outcome::Unreachable => {
                e.failed(now, 1);
                cool_after_loss(e, now, &self.routes);
            }
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

/// An endpoint that accepts no connection may be restarting; it is cold when it is back.
fn cool_after_loss(
    e: &mut super::endpoint::Endpoint,
    now: Duration,
    routes: &mangospindle_model::RouteTable,
) {
    if let Some(service) = routes.services.get(&e.service) {
        e.cool(now, service.cold_start);
    }
}

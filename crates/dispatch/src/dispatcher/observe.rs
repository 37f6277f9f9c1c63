use super::Dispatcher;
use crate::{EndpointKey, LoadReading, Outcome};
use std::time::Duration;

/// Failures that one request without any answer stands for.
const SILENCE_WEIGHT: u32 = 2;

impl Dispatcher {
    /// Records the end of a request that [`Dispatcher::choose`] sent to an endpoint. `affinity` is
    /// the object of the request. An endpoint that is gone meanwhile is ignored.
    pub fn finished(
        &mut self,
        now: Duration,
        key: EndpointKey,
        affinity: Option<u64>,
        outcome: Outcome,
    ) {
        let Some(e) = self.endpoints.get_mut(&key) else {
            return;
        };
        let others_busy = e.load.expected(now) > f64::from(e.slots);
        e.load.ended();
        match outcome {
            Outcome::Answered { elapsed, load } => {
                e.succeeded();
                let known = affinity.is_some_and(|object| e.warm.contains(object));
                if let Some(object) = affinity {
                    e.warm.touch(object);
                }
                report(e, now, load);
                let cold = e.is_cold(now);
                let waited = others_busy || load.is_some_and(|l| l.waiting > 0);
                if let Some(service) = self.services.get_mut(&e.service)
                    && !waited
                    && !cold
                {
                    service.times.record(known, elapsed);
                }
            }
            Outcome::Erred { load } => {
                e.failed(now, 0);
                report(e, now, load);
            }
            Outcome::Rejected { load } => {
                // Without a full queue there was no need to reject the request.
                if !load.is_some_and(|l| l.waiting > 0) {
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

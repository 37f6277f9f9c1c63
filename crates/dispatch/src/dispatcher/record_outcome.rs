use super::Dispatcher;
use super::update::DEFAULT_COLD_START;
use crate::{EndpointKey, LoadReading, Outcome, SendTicket};
use rand::Rng;
use std::time::Duration;

/// Number of consecutive failures that a timeout counts as.
const TIMEOUT_FAILURES: u32 = 2;

/// Time within which the loss of all paths is noticed.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(1500);

impl Dispatcher {
    /// Records the outcome of a request dispatched by [`Dispatcher::choose`]. Does nothing if the
    /// endpoint has been removed in the meantime.
    pub fn record_outcome(&mut self, now: Duration, ticket: SendTicket, outcome: Outcome) {
        let first_send_at = self.first_send_after_restart(now, ticket.endpoint);
        let Some(e) = self.endpoints.get_mut(&ticket.endpoint) else {
            return;
        };
        e.load.record_end();
        if let Some(reading) = outcome.load()
            && let Some(service) = self.services.get_mut(&e.service)
            && self.settings.region_of(&e.failure_domain) == self.settings.region()
        {
            service.region_load.record(reading);
        }
        let service = self.routes.services.get(&e.service);
        let cold_start = service.map_or(DEFAULT_COLD_START, |s| s.cold_start);
        match outcome {
            Outcome::Answered { elapsed, load } => {
                e.record_success(now, cold_start);
                if let Some(key) = ticket.affinity {
                    e.working_set.touch(key);
                }
                record_load(e, now, load);
                if let Some(service) = self.services.get_mut(&e.service)
                    && !e.is_cold(now)
                {
                    service.service_time.record(
                        ticket.expected_hit,
                        ticket.queue_per_slot,
                        elapsed,
                    );
                }
            }
            Outcome::EndpointError { load } => {
                e.record_failure(now, 0);
                record_load(e, now, load);
            }
            Outcome::Rejected { load } => {
                // Without queued requests, the endpoint had no reason to reject this one.
                if load.is_none_or(|l| l.waiting == 0) {
                    e.record_failure(now, 0);
                }
                record_load(e, now, load);
            }
            Outcome::Misdirected => e.record_reassigned(now),
            Outcome::Unreachable => e.record_unreachable(now, first_send_at),
            Outcome::Failed => e.record_failure(now, 1),
            Outcome::Disconnected => {
                e.suspect_restart(now, first_send_at);
                e.record_failure(now, 1);
            }
            Outcome::ClosedWhileIdle => e.suspect_restart(now, first_send_at),
            Outcome::CheckRejected { load } => record_load(e, now, load),
            Outcome::CheckTimedOut => e.suspect_restart(now, first_send_at),
            Outcome::TimedOut => e.record_failure(now, TIMEOUT_FAILURES),
            Outcome::Cancelled => {}
        }
    }

    /// Records that an endpoint closed an idle connection early. It may have restarted.
    pub fn record_idle_close(&mut self, now: Duration, endpoint: EndpointKey) {
        let first_send_at = self.first_send_after_restart(now, endpoint);
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.suspect_restart(now, first_send_at);
        }
    }

    /// Records that this entry has a path to endpoints again, after a loss that was noticed at
    /// `lost_at`. That endpoints lost their connections since then, or shortly before, is no sign of
    /// a restart. The list of endpoints, which arrives on other paths, names those that restarted.
    pub fn record_paths_restored(&mut self, lost_at: Duration) {
        let since = lost_at.saturating_sub(LOSS_DETECTION_TIME);
        for e in self.endpoints.values_mut() {
            e.forget_failures_since(since);
        }
    }

    /// When this entry sends the first request to an endpoint that may have restarted. Entries that
    /// lost their connections at the same time do not return at the same time.
    fn first_send_after_restart(&mut self, now: Duration, endpoint: EndpointKey) -> Duration {
        let service = self.endpoints.get(&endpoint).map(|e| e.service.as_str());
        let interval = service.map_or(Duration::ZERO, |s| self.cold_interval(s));
        now + interval.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

fn record_load(e: &mut super::endpoint::Endpoint, now: Duration, load: Option<LoadReading>) {
    if let Some(load) = load {
        e.slots = load.slots.max(1);
        e.load.record_report(now, load);
    }
}

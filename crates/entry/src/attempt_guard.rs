use crate::client::ExchangeError;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use mangospindle_model::{EntryId, ErrorKind, ServiceId};
use mangospindle_routing::OwnerEvent;
use std::sync::Arc;
use std::time::Duration;

/// An attempt that the router counts as in flight. Reports exactly one outcome to the router.
///
/// An attempt that is dropped without an outcome is reported as timed out if its response was slow
/// to start, and as cancelled otherwise.
pub(crate) struct AttemptGuard {
    shared: Arc<ServerState>,
    owner: EntryId,
    service: ServiceId,
    sent_at: Duration,
    /// An abandoned attempt counts as timed out if no response has started within this time.
    slow_threshold: Duration,
    response_started: bool,
    outcome_reported: bool,
}

impl AttemptGuard {
    /// Starts to track an attempt at an owner that the router selected.
    pub(crate) fn new(
        shared: &Arc<ServerState>,
        owner: EntryId,
        service: ServiceId,
        slow_threshold: Duration,
    ) -> Self {
        AttemptGuard {
            sent_at: shared.now(),
            shared: Arc::clone(shared),
            owner,
            service,
            slow_threshold,
            response_started: false,
            outcome_reported: false,
        }
    }

    /// Reports the start of the response and returns the time since the request was sent.
    pub(crate) fn on_response_started(&mut self) -> Duration {
        let after = self.elapsed();
        self.response_started = true;
        self.notify_router(OwnerEvent::ResponseStarted { after });
        after
    }

    /// Reports a server error response of the endpoint. Its latency is not recorded, so that an
    /// endpoint that fails fast does not attract traffic.
    pub(crate) fn on_server_error(mut self) {
        self.report_outcome(OwnerEvent::Failed);
    }

    /// Reports that the whole response was forwarded.
    pub(crate) fn on_complete(mut self) {
        let after = self.elapsed();
        self.report_outcome(OwnerEvent::ResponseComplete { after });
    }

    /// Reports that the response body ended early.
    pub(crate) fn on_aborted(mut self, e: ExchangeError) {
        let reason = e.as_str();
        self.shared
            .metrics
            .answers_aborted
            .with_label_values(&[reason])
            .inc();
        self.report_outcome(match e {
            ExchangeError::Body(_) => OwnerEvent::Cancelled,
            _ => OwnerEvent::Failed,
        });
    }

    /// Reports that the attempt failed without a response.
    pub(crate) fn on_error(mut self, error: &RequestError) {
        let kind = error.kind;
        self.report_outcome(match kind {
            _ if error.did_not_run() => OwnerEvent::Refused { kind },
            ErrorKind::DeadlineExceeded => OwnerEvent::TimedOut,
            ErrorKind::BodyLengthMismatch => OwnerEvent::Cancelled,
            _ => OwnerEvent::Failed,
        });
    }

    fn elapsed(&self) -> Duration {
        self.shared.now().saturating_sub(self.sent_at)
    }

    fn report_outcome(&mut self, event: OwnerEvent) {
        self.outcome_reported = true;
        self.notify_router(event);
    }

    fn notify_router(&self, event: OwnerEvent) {
        let (owner, service) = (self.owner, self.service);
        // Without a configuration there is no router to report to.
        let _no_config = (self.shared)
            .with_routing(|state, now| state.router.observe(now, owner, service, event));
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        // An attempt that was abandoned early says nothing about the owner.
        match !self.response_started && self.elapsed() > self.slow_threshold {
            _ if self.outcome_reported => {}
            true => self.report_outcome(OwnerEvent::TimedOut),
            false => self.report_outcome(OwnerEvent::Cancelled),
        }
    }
}

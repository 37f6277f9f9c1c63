use crate::client::ExchangeError;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use mangospindle_model::{EntryId, ErrorKind, ServiceId};
use mangospindle_routing::OwnerEvent;
use std::sync::Arc;
use std::time::Duration;

/// An attempt that the router counts as in flight. Reports exactly one end; when it is dropped
/// without one, it was cancelled.
pub(crate) struct AttemptGuard {
    shared: Arc<ServerState>,
    owner: EntryId,
    service: ServiceId,
    sent_at: Duration,
    /// Time to the start of the answer after which a given up attempt counts as timed out.
    slow_after: Duration,
    started: bool,
    ended: bool,
}

impl AttemptGuard {
    /// Starts to track an attempt that the router has chosen an owner for.
    pub(crate) fn new(
        shared: &Arc<ServerState>,
        owner: EntryId,
        service: ServiceId,
        slow_after: Duration,
    ) -> Self {
        AttemptGuard {
            sent_at: shared.now(),
            shared: Arc::clone(shared),
            owner,
            service,
            slow_after,
            started: false,
            ended: false,
        }
    }

    /// The answer has started; returns the time that it took.
    pub(crate) fn started(&mut self) -> Duration {
        let after = self.elapsed();
        self.started = true;
        self.observe(OwnerEvent::ResponseStarted { after });
        after
    }

    /// The endpoint answered with an error of its own. Its latency does not count, so that an
    /// endpoint that fails fast does not attract traffic.
    pub(crate) fn server_error(mut self) {
        self.end(OwnerEvent::Failed);
    }

    /// The whole answer was passed on.
    pub(crate) fn complete(mut self) {
        let after = self.elapsed();
        self.end(OwnerEvent::ResponseComplete { after });
    }

    /// The answer ended early.
    pub(crate) fn aborted(mut self, e: ExchangeError) {
        let reason = e.as_str();
        self.shared
            .metrics
            .aborted
            .with_label_values(&[reason])
            .inc();
        self.end(match e {
            ExchangeError::Body(_) => OwnerEvent::Cancelled,
            _ => OwnerEvent::Failed,
        });
    }

    /// There is no answer.
    pub(crate) fn refused(mut self, refusal: &RequestError) {
        let kind = refusal.kind;
        self.end(match kind {
            _ if refusal.did_not_run() => OwnerEvent::Refused { kind },
            ErrorKind::DeadlineExceeded => OwnerEvent::TimedOut,
            ErrorKind::BodyLengthMismatch => OwnerEvent::Cancelled,
            _ => OwnerEvent::Failed,
        });
    }

    fn elapsed(&self) -> Duration {
        self.shared.now().saturating_sub(self.sent_at)
    }

    fn end(&mut self, event: OwnerEvent) {
        self.ended = true;
        self.observe(event);
    }

    fn observe(&self, event: OwnerEvent) {
        let (owner, service) = (self.owner, self.service);
        // Without a configuration there is no router that counts the attempt.
        let _missing =
            (self.shared).with_routing(|d, now| d.router.observe(now, owner, service, event));
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        // An attempt that was given up early says nothing about the owner.
        match !self.started && self.elapsed() > self.slow_after {
            _ if self.ended => {}
            true => self.end(OwnerEvent::TimedOut),
            false => self.end(OwnerEvent::Cancelled),
        }
    }
}

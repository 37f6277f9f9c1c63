use crate::gateway::Gateway;
use mangospindle_dispatch::{LoadReading, Outcome, SendTicket};
use std::rc::Rc;
use std::time::Duration;

/// A request that an endpoint has, until its outcome is known. Dropped without an outcome, the
/// request counts as cancelled by its caller.
pub(crate) struct SendGuard {
    gateway: Rc<Gateway>,
    ticket: SendTicket,
    sent_at: Duration,
    /// Time to the start of the answer and the load that it reported.
    head: Option<(Duration, Option<LoadReading>)>,
    finished: bool,
}

impl SendGuard {
    /// Guards a request that was just counted at an endpoint.
    pub(crate) fn new(gateway: Rc<Gateway>, ticket: SendTicket) -> Self {
        SendGuard {
            sent_at: gateway.now(),
            gateway,
            ticket,
            head: None,
            finished: false,
        }
    }

    /// Notes the start of the answer.
    pub(crate) fn answer_started(&mut self, load: Option<LoadReading>) {
        let elapsed = self.gateway.now().saturating_sub(self.sent_at);
        self.head = Some((elapsed, load));
    }

    /// Reports a complete answer.
    pub(crate) fn finish_answered(&mut self) {
        let (elapsed, load) = self.head.unwrap_or_default();
        self.finish(Outcome::Answered { elapsed, load });
    }

    /// Reports the outcome.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.finished, true) {
            self.gateway.finished(self.ticket, outcome);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

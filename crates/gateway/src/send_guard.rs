use crate::gateway::Gateway;
use mangospindle_dispatch::{LoadReading, Outcome, SendTicket};
use std::rc::Rc;
use std::time::Duration;

/// A request that was sent to an endpoint and whose outcome is not known yet. If the guard is
/// dropped without an outcome, the request counts as cancelled by its caller. The outcome of a
/// request that was relayed to another entry is recorded by that entry only.
pub(crate) struct SendGuard {
    gateway: Rc<Gateway>,
    /// `None` if the request was relayed.
    ticket: Option<SendTicket>,
    sent_at: Duration,
    /// Time until the response head arrived, and the load that it reported.
    response_head: Option<(Duration, Option<LoadReading>)>,
    finished: bool,
}

impl SendGuard {
    /// Guards a request that the dispatcher has just counted at an endpoint.
    pub(crate) fn new(gateway: Rc<Gateway>, ticket: SendTicket) -> Self {
        SendGuard::with_ticket(gateway, Some(ticket))
    }

    /// Guards a request that is relayed to another entry.
    pub(crate) fn relayed(gateway: Rc<Gateway>) -> Self {
        SendGuard::with_ticket(gateway, None)
    }

    fn with_ticket(gateway: Rc<Gateway>, ticket: Option<SendTicket>) -> Self {
        SendGuard {
            sent_at: gateway.now(),
            gateway,
            ticket,
            response_head: None,
            finished: false,
        }
    }

    /// Records that the response head has arrived.
    pub(crate) fn record_response_head(&mut self, load: Option<LoadReading>) {
        let elapsed = self.gateway.now().saturating_sub(self.sent_at);
        self.response_head = Some((elapsed, load));
    }

    /// Reports a complete response.
    pub(crate) fn finish_success(&mut self) {
        let (elapsed, load) = self.response_head.unwrap_or_default();
        self.finish(Outcome::Answered { elapsed, load });
    }

    /// Reports the outcome, unless one was reported before.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        let finished = std::mem::replace(&mut self.finished, true);
        if let Some(ticket) = self.ticket.filter(|_| !finished) {
            self.gateway.record_outcome(ticket, outcome);
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
    }
}

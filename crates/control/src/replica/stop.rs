//! The graceful stop.

use super::messages::Stop;
use super::{Phase, Replica};
use crate::limits::{STOP_HAND_OVER, STOP_PROPOSALS};
use actix::{Context, Handler};
use mangospindle_consensus::{Input, Role};
use mangospindle_telemetry::event;

impl Handler<Stop> for Replica {
    type Result = ();

    fn handle(&mut self, message: Stop, cx: &mut Context<Self>) {
        self.exit = Some(message.0);
        if self.phase == Phase::Running {
            event!(Info, "stopping", "role" => format!("{:?}", self.parts.node.role()));
            self.phase = Phase::Stopping {
                since: self.now(),
                handing_over: None,
            };
            // Watches move to other replicas now, not when the connection breaks.
            self.parts.published.withdraw();
        }
        self.continue_stop(cx);
    }
}

impl Replica {
    /// Goes on with a stop: finish proposals, hand leadership over, exit.
    pub(super) fn continue_stop(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let leads = self.parts.node.role() == Role::Leader;
        match self.phase {
            Phase::Running => return,
            Phase::Stopping { since, .. }
                if !self.proposals.is_empty() && now < since + STOP_PROPOSALS =>
            {
                return;
            }
            Phase::Stopping {
                since,
                handing_over: None,
            } if leads => {
                self.phase = Phase::Stopping {
                    since,
                    handing_over: Some(now),
                };
                self.push_input(Input::TransferLeadership { to: None }, cx);
                return;
            }
            Phase::Stopping {
                handing_over: Some(at),
                ..
            } if leads && now < at + STOP_HAND_OVER => return,
            Phase::Stopping { .. } | Phase::DiskFailed => {}
        }
        if let Some(exit) = self.exit.take() {
            self.proposals.abandon();
            self.queries.abandon();
            event!(Info, "stopped", "still_leads" => leads);
            // The receiver waits until the process exits.
            let _ = exit.send(());
        }
    }
}

//! The graceful stop.

use super::messages::Stop;
use super::{Phase, Replica};
use crate::limits::{LEADERSHIP_TRANSFER_TIMEOUT, STOP_PROPOSALS_TIMEOUT};
use actix::{Context, Handler};
use mangospindle_consensus::{Input, Role};
use mangospindle_telemetry::event;

impl Handler<Stop> for Replica {
    type Result = ();

    fn handle(&mut self, message: Stop, cx: &mut Context<Self>) {
        self.stop_requested = true;
        self.stopped_tx = Some(message.0);
        if self.phase == Phase::Running {
            event!(Info, "stopping", "role" => format!("{:?}", self.parts.node.role()));
            self.phase = Phase::Stopping {
                started_at: self.now(),
                transfer_started_at: None,
            };
            // Watches move to other replicas now instead of when their connections close.
            self.parts.published.take_out_of_service();
        }
        self.advance_stop(cx);
    }
}

impl Replica {
    /// Continues a stop: waits for pending proposals, transfers leadership, then reports completion.
    pub(super) fn advance_stop(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let is_leader = self.parts.node.role() == Role::Leader;
        match self.phase {
            Phase::Running => return,
            Phase::Stopping { started_at, .. }
                if !self.proposals.is_empty() && now < started_at + STOP_PROPOSALS_TIMEOUT =>
            {
                return;
            }
            Phase::Stopping {
                started_at,
                transfer_started_at: None,
            } if is_leader => {
                self.phase = Phase::Stopping {
                    started_at,
                    transfer_started_at: Some(now),
                };
                self.push_input(Input::TransferLeadership { to: None }, cx);
                return;
            }
            Phase::Stopping {
                transfer_started_at: Some(at),
                ..
            } if is_leader && now < at + LEADERSHIP_TRANSFER_TIMEOUT => return,
            Phase::Stopping { .. } | Phase::DiskFailed => {}
        }
        if let Some(stopped_tx) = self.stopped_tx.take() {
            self.proposals.fail_all();
            self.queries.refuse_all();
            event!(Info, "stopped", "still_leads" => is_leader);
            // The receiver may have timed out.
            let _ = stopped_tx.send(());
        }
    }
}

//! The graceful stop.

use super::messages::Stop;
use super::{Phase, Replica};
use crate::limits::{
    LEADERSHIP_TRANSFER_TIMEOUT, LEAVE_INTERVAL, LEAVE_TIMEOUT, STOP_PROPOSALS_TIMEOUT,
};
use crate::options::ReplicaSet;
use actix::{Context, Handler};
use mangospindle_consensus::{Input, Role};
use mangospindle_telemetry::event;
use std::time::Duration;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopProgress {
    started_at: Duration,
    /// When the transfer of leadership was requested, if it was.
    transfer_started_at: Option<Duration>,
    /// When the replica first told the leader that it leaves, if it did.
    leave_started_at: Option<Duration>,
    next_leave_at: Duration,
}

impl StopProgress {
    fn new(now: Duration) -> Self {
        StopProgress {
            started_at: now,
            transfer_started_at: None,
            leave_started_at: None,
            next_leave_at: now,
        }
    }

    fn transfer_timed_out(&self, now: Duration) -> bool {
        let started_at = self.transfer_started_at;
        started_at.is_some_and(|at| now >= at + LEADERSHIP_TRANSFER_TIMEOUT)
    }
}

impl Handler<Stop> for Replica {
    type Result = ();

    fn handle(&mut self, message: Stop, cx: &mut Context<Self>) {
        self.stop_requested = true;
        self.stopped_tx = Some(message.0);
        if self.phase == Phase::Running {
            event!(Info, "stopping", "role" => format!("{:?}", self.parts.node.role()));
            self.phase = Phase::Stopping(StopProgress::new(self.now()));
            // Watches move to other replicas now instead of when their connections close.
            self.parts.published.take_out_of_service();
        }
        self.advance_stop(cx);
    }
}

impl Replica {
    /// Continues a stop: waits for pending proposals, transfers leadership, leaves, then reports
    /// completion.
    pub(super) fn advance_stop(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let is_leader = self.parts.node.role() == Role::Leader;
        match &mut self.phase {
            Phase::Running => return,
            Phase::Stopping(stop)
                if !self.proposals.is_empty() && now < stop.started_at + STOP_PROPOSALS_TIMEOUT =>
            {
                return;
            }
            Phase::Stopping(stop) if is_leader && stop.transfer_started_at.is_none() => {
                stop.transfer_started_at = Some(now);
                self.push_input(Input::TransferLeadership { to: None }, cx);
                return;
            }
            Phase::Stopping(stop) if is_leader && !stop.transfer_timed_out(now) => return,
            Phase::Stopping(stop) if !is_leader && !self.parts.node.has_left() => {
                let is_open = matches!(self.parts.options.replicas, ReplicaSet::Open { .. });
                let started_at = *stop.leave_started_at.get_or_insert(now);
                if is_open && now < started_at + LEAVE_TIMEOUT {
                    return self.leave(now, cx);
                }
            }
            Phase::Stopping(_) | Phase::DiskFailed => {}
        }
        if let Some(stopped_tx) = self.stopped_tx.take() {
            self.proposals.fail_all();
            self.queries.refuse_all();
            event!(Info, "stopped", "still_leads" => is_leader, "left" => self.parts.node.has_left());
            // The receiver may have timed out.
            let _ = stopped_tx.send(());
        }
    }

    /// Tells the leader that this replica leaves, if that is due.
    fn leave(&mut self, now: Duration, cx: &mut Context<Self>) {
        match &mut self.phase {
            Phase::Stopping(stop) if now >= stop.next_leave_at => {
                stop.next_leave_at = now + LEAVE_INTERVAL;
                self.push_input(Input::Leave, cx);
            }
            _ => {}
        }
    }
}

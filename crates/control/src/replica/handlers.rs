//! Message handlers of the replica actor.

use super::messages::{
    Deliver, DiskDone, FenceVms, Flush, GetAudit, GetStatus, Propose, SubmitQuery,
};
use super::{Phase, Replica};
use crate::command_support;
use crate::order_subject::OrderSubject;
use actix::{ActorFutureExt, AsyncContext, Context, Handler, MessageResult, WrapFuture};
use mangospindle_consensus::{Input, ProposalId, Role};
use mangospindle_rpc::{Proposal, ProposeResult};
use mangospindle_state::{Actor as ChangeActor, Command, CommandKind, Outcome, RequestId};
use mangospindle_telemetry::event;
use tokio::sync::oneshot;

impl Handler<Flush> for Replica {
    type Result = ();

    fn handle(&mut self, _: Flush, cx: &mut Context<Self>) {
        self.flush(cx);
    }
}

impl Handler<Deliver> for Replica {
    type Result = ();

    fn handle(&mut self, message: Deliver, cx: &mut Context<Self>) {
        for message in message.0 {
            self.push_input(Input::Message(message), cx);
        }
    }
}

impl Handler<Propose> for Replica {
    type Result = ();

    fn handle(&mut self, message: Propose, cx: &mut Context<Self>) {
        let Propose { proposal, reply } = message;
        let refused =
            self.phase != Phase::Running || !self.proposals.has_room(proposal.command.len());
        match self.parts.node.role() {
            _ if refused => self.refuse(reply, ProposeResult::NotAccepted),
            Role::Leader => self.accept_proposal(proposal, reply, cx),
            _ if proposal.forwarded => self.refuse(reply, ProposeResult::NotAccepted),
            _ => self.forward_proposal(proposal, reply, cx),
        }
    }
}

impl Handler<SubmitQuery> for Replica {
    type Result = ();

    fn handle(&mut self, message: SubmitQuery, _: &mut Context<Self>) {
        let now = self.now();
        self.queries.add(now, message.0);
    }
}

impl Handler<GetAudit> for Replica {
    type Result = MessageResult<GetAudit>;

    fn handle(&mut self, message: GetAudit, _: &mut Context<Self>) -> Self::Result {
        let state = self.parts.published.state.borrow();
        MessageResult(state.audit(message.after, message.limit))
    }
}

impl Handler<GetStatus> for Replica {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.status())
    }
}

impl Handler<FenceVms> for Replica {
    type Result = ();

    fn handle(&mut self, message: FenceVms, cx: &mut Context<Self>) {
        if self.phase != Phase::Running || self.parts.node.role() != Role::Leader {
            return;
        }
        for (name, incarnation) in message.0 {
            if self.parts.published.incarnation(&name) != Some(incarnation) {
                continue;
            }
            event!(Warn, "vm_gone", "vm" => name);
            self.propose_as_leader(
                CommandKind::FenceVm {
                    name,
                    incarnation: Some(incarnation),
                },
                cx,
            );
        }
    }
}

impl Handler<DiskDone> for Replica {
    type Result = ();

    fn handle(&mut self, message: DiskDone, cx: &mut Context<Self>) {
        match message.0 {
            // Writes that were queued before the failure; what they made durable is read back.
            Ok(_) if self.phase == Phase::DiskFailed => {}
            Ok(synced) => {
                self.parts.metrics.observe_batch(&synced);
                for message in self.send_barrier.release(synced.last_write) {
                    self.send(message);
                }
                if let Some((index, term)) = synced.last_entry {
                    self.push_input(Input::Persisted { index, term }, cx);
                }
            }
            Err(e) => self.fail_stop(&e.to_string(), cx),
        }
    }
}

impl Replica {
    /// Answers a proposal that is in no log.
    fn refuse(&self, reply: oneshot::Sender<ProposeResult>, result: ProposeResult) {
        self.parts.metrics.count_proposal(&result);
        // The caller may be gone.
        let _ = reply.send(result);
    }

    /// Appends a proposal to the log of this leader, unless it is an order that may be older than another
    /// one for the same subject.
    fn accept_proposal(
        &mut self,
        proposal: Proposal,
        reply: oneshot::Sender<ProposeResult>,
        cx: &mut Context<Self>,
    ) {
        let Ok(command) = postcard::from_bytes::<Command>(&proposal.command) else {
            return self.refuse(reply, ProposeResult::NotAccepted);
        };
        if let Some(level) = command_support::required_level(&command.kind) {
            return self.append_if_supported(command, level, reply, cx);
        }
        let subject = OrderSubject::of_order(&command.kind);
        if let (Some(subject), Some(based_on)) = (&subject, proposal.based_on)
            && (!self.is_ready_leader() || self.orders.is_outdated(subject, based_on))
        {
            event!(Info, "order_outdated", "subject" => format!("{subject:?}"),
                "based_on" => based_on, "applied" => self.applied.0);
            return self.refuse(reply, ProposeResult::Outdated);
        }
        let id = self.append_command(command, reply, cx);
        if let (Some(id), Some(subject)) = (id, subject) {
            self.orders.start(id, subject);
        }
    }

    /// Appends a command that earlier builds cannot read, unless another replica is of such a build.
    fn append_if_supported(
        &mut self,
        command: Command,
        level: u8,
        reply: oneshot::Sender<ProposeResult>,
        cx: &mut Context<Self>,
    ) {
        let members = self.parts.node.membership().members();
        let links = members.filter_map(|m| Some((m.replica, self.parts.peers.link(m.replica)?)));
        let earlier_build = command_support::find_earlier_build(links.collect(), level);
        cx.spawn(earlier_build.into_actor(self).map(|found, replica, cx| {
            let leads = replica.parts.node.role() == Role::Leader;
            if let Some(earlier) = found {
                event!(Warn, "command_unsupported", "replica" => earlier.0,
                    "effect" => "the command is not accepted until that replica has this build");
            }
            match found.is_none() && leads && replica.phase == Phase::Running {
                true => {
                    replica.append_command(command, reply, cx);
                }
                false => replica.refuse(reply, ProposeResult::NotAccepted),
            }
        }));
    }

    /// Appends a command with the current time. Returns `None` if it cannot be encoded.
    fn append_command(
        &mut self,
        mut command: Command,
        reply: oneshot::Sender<ProposeResult>,
        cx: &mut Context<Self>,
    ) -> Option<ProposalId> {
        command.leader_time_ms = self.parts.wall_clock.unix_ms();
        match postcard::to_stdvec(&command) {
            Ok(encoded) => Some(self.append_proposal(encoded, reply, cx)),
            Err(e) => {
                log::error!("cannot encode a command: {e}");
                self.refuse(reply, ProposeResult::NotAccepted);
                None
            }
        }
    }

    fn append_proposal(
        &mut self,
        command: Vec<u8>,
        reply: oneshot::Sender<ProposeResult>,
        cx: &mut Context<Self>,
    ) -> ProposalId {
        let id = self.proposals.add(reply, command.len());
        self.push_input(Input::Propose { id, command }, cx);
        id
    }

    /// Forwards a proposal to the leader.
    fn forward_proposal(
        &mut self,
        proposal: Proposal,
        reply: oneshot::Sender<ProposeResult>,
        cx: &mut Context<Self>,
    ) {
        let leader = self.parts.node.leader();
        let Some(peer) = leader.and_then(|l| self.parts.peers.link(l.replica)) else {
            return self.refuse(reply, ProposeResult::NotAccepted);
        };
        let answer = peer.propose(&proposal.command, proposal.based_on);
        cx.spawn(answer.into_actor(self).map(|result, replica, _| {
            replica.parts.metrics.count_proposal(&result);
            // The caller may be gone.
            let _ = reply.send(result);
        }));
    }

    /// Proposes a command on behalf of the leader. Failures are not retried here: the periodic tasks
    /// propose again whatever the state still lacks.
    pub(super) fn propose_as_leader(&mut self, kind: CommandKind, cx: &mut Context<Self>) {
        let member = self.parts.node.member();
        self.request_sequence += 1;
        let (term, sequence) = (self.parts.node.term(), self.request_sequence);
        let command = Command {
            request: RequestId(format!("control-{}-{term}-{sequence}", member.storage.0)),
            actor: ChangeActor::Process(format!("control-{}", member.replica.0)),
            leader_time_ms: self.parts.wall_clock.unix_ms(),
            kind,
        };
        match postcard::to_stdvec(&command) {
            Ok(encoded) => {
                let (reply, result) = oneshot::channel();
                self.append_proposal(encoded, reply, cx);
                cx.spawn(result.into_actor(self).map(|result, _, _| match result {
                    Ok(ProposeResult::Outcome(Outcome::Refused { detail, .. })) => {
                        event!(Warn, "own_proposal_refused", "detail" => detail);
                    }
                    other => log::debug!("result of the leader's own proposal: {other:?}"),
                }));
            }
            Err(e) => log::error!("cannot encode a command: {e}"),
        }
    }
}

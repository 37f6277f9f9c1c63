//! Periodic work of the leader, proposals and leadership transfers.

use super::{Node, State};
use crate::{
    LeaderState, LeadershipTransfer, Member, Payload, ProposalError, ProposalId, ReplicaId,
};
use std::time::Duration;

impl Node {
    /// Returns the latest time on this node's clock at which a majority followed this leader.
    /// `None` until an entry of the current term is committed, because the commit index may lag
    /// until then.
    pub(super) fn confirmed_as_leader(&self, now: Duration) -> Option<Duration> {
        match &self.state {
            State::Leader(leader_state) if self.commit_index >= leader_state.first_index => {
                LeaderState::majority_of(self.membership(), |voter| {
                    if voter == self.member() {
                        Some(now)
                    } else {
                        leader_state
                            .progress
                            .get(&voter)
                            .and_then(|p| p.acked_round_start)
                    }
                })
            }
            _ => None,
        }
    }

    /// Steps down if no majority has replied recently. Otherwise repairs the membership and starts
    /// a heartbeat round if one is due.
    pub(super) fn tick_leader(&mut self, now: Duration) {
        let timeout = self.settings.timing.election_timeout_max;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        if leader_state.transfer.is_some_and(|t| now >= t.deadline) {
            leader_state.transfer = None;
        }
        let heartbeat_due = now >= leader_state.next_heartbeat;
        let majority_contact = LeaderState::majority_of(self.log.membership().1, |voter| {
            if voter == self.settings.member {
                Some(now)
            } else {
                leader_state.progress.get(&voter).map(|p| p.last_contact())
            }
        });
        if majority_contact.is_none_or(|at| now.saturating_sub(at) > timeout) {
            return self.become_follower(now, None);
        }
        self.repair_membership(now);
        if heartbeat_due {
            self.begin_round(now);
        }
    }

    pub(super) fn propose(
        &mut self,
        command: Vec<u8>,
        id: ProposalId,
    ) -> Result<(), ProposalError> {
        match &self.state {
            State::Leader(leader_state) if leader_state.transfer.is_none() => {}
            _ => return Err(ProposalError::NotLeader),
        }
        let index = self.append_as_leader(Payload::Command(command));
        self.track_proposal(index, Some(id));
        Ok(())
    }

    pub(super) fn track_proposal(&mut self, index: u64, id: Option<ProposalId>) {
        if let (State::Leader(leader_state), Some(id)) = (&mut self.state, id) {
            leader_state.proposals.insert(index, id);
        }
    }

    /// Starts a leadership transfer to `to` if that voter replies. Otherwise the successor is the
    /// voter with the longest matching log among those that reply.
    pub(super) fn transfer_leadership(&mut self, now: Duration, to: Option<ReplicaId>) {
        let timeout = self.settings.timing.election_timeout_max;
        let membership = self.membership().clone();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let is_responsive = |member: &Member| {
            let progress = leader_state.progress.get(member);
            progress.is_some_and(|p| !p.is_leaving(now) && p.silence(now) <= timeout)
        };
        let matched = |member: &Member| leader_state.progress.get(member).map(|p| p.matched);
        let voters = membership.voters.iter().filter(|v| is_responsive(v));
        let successor = voters.max_by_key(|v| (Some(v.replica) == to, matched(v)));
        let Some(successor) = successor else {
            return;
        };
        leader_state.transfer = Some(LeadershipTransfer {
            to: *successor,
            deadline: now + timeout,
            timeout_now_sent: false,
        });
        self.advance_transfer();
    }
}

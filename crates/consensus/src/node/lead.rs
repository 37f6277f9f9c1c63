//! Duties of the leader over time, and proposals.

use super::{Node, State};
use crate::{Leadership, Member, Payload, ProposalError, ProposalId, ReplicaId, Transfer};
use std::time::Duration;

impl Node {
    /// The latest time at which a majority followed this leader, on its own clock. `None` until an
    /// entry of the own term is committed: before that, the commit position may be behind.
    pub(super) fn confirmed_as_leader(&self, now: Duration) -> Option<Duration> {
        match &self.state {
            State::Leader(leadership) if self.commit_index >= leadership.first => {
                Leadership::majority_of(self.membership(), |voter| {
                    if voter == self.member() {
                        Some(now)
                    } else {
                        leadership.progress.get(&voter).and_then(|p| p.acked_at)
                    }
                })
            }
            _ => None,
        }
    }

    /// Steps down without a majority, and sends what is due.
    pub(super) fn lead_on(&mut self, now: Duration) {
        let timeout = self.settings.timing.election_timeout_max;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.transfer.is_some_and(|t| now >= t.deadline) {
            leadership.transfer = None;
        }
        let due = now >= leadership.next_heartbeat;
        let heard = Leadership::majority_of(self.log.membership().1, |voter| {
            if voter == self.settings.member {
                Some(now)
            } else {
                leadership.progress.get(&voter).map(|p| p.heard_at())
            }
        });
        if heard.is_none_or(|heard| now.saturating_sub(heard) > timeout) {
            return self.follow(now, None);
        }
        self.repair_membership(now);
        if due {
            self.begin_round(now);
        }
    }

    pub(super) fn propose(
        &mut self,
        command: Vec<u8>,
        id: ProposalId,
    ) -> Result<(), ProposalError> {
        match &self.state {
            State::Leader(leadership) if leadership.transfer.is_none() => {}
            _ => return Err(ProposalError::NotLeader),
        }
        let index = self.append_as_leader(Payload::Command(command));
        self.remember(index, Some(id));
        Ok(())
    }

    pub(super) fn remember(&mut self, index: u64, id: Option<ProposalId>) {
        if let (State::Leader(leadership), Some(id)) = (&mut self.state, id) {
            leadership.proposals.insert(index, id);
        }
    }

    /// Chooses the successor: the wanted one, else the voter with the longest log among those that
    /// answer.
    pub(super) fn transfer_leadership(&mut self, now: Duration, to: Option<ReplicaId>) {
        let timeout = self.settings.timing.election_timeout_max;
        let membership = self.membership().clone();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let answers = |member: &Member| {
            let progress = leadership.progress.get(member);
            progress.is_some_and(|p| now.saturating_sub(p.heard_at()) <= timeout)
        };
        let matched = |member: &Member| leadership.progress.get(member).map(|p| p.matched);
        let voters = membership.voters.iter().filter(|v| answers(v));
        let successor = voters.max_by_key(|v| (Some(v.replica) == to, matched(v)));
        let Some(successor) = successor else {
            return;
        };
        leadership.transfer = Some(Transfer {
            to: *successor,
            deadline: now + timeout,
            sent: false,
        });
        self.hand_over();
    }
}

//! Terms, pre-votes and votes.

use super::{Node, State};
use crate::{LeaderState, Member, MessageKind, Output, Payload};
use std::{collections::BTreeSet, time::Duration};

impl Node {
    /// Compares the term of a message with the current term, and adopts a newer one. Returns
    /// whether to handle the message.
    pub(super) fn observe_term(
        &mut self,
        now: Duration,
        from: Member,
        term: u64,
        kind: &MessageKind,
    ) -> bool {
        match kind {
            // A pre-vote carries the term that the sender would start, not its current term.
            MessageKind::PreVote { .. } | MessageKind::PreVoteReply { granted: true } => true,
            // A replica that was partitioned must not depose a leader that the others can reach.
            MessageKind::Vote {
                transfer: false, ..
            } if term > self.term() && self.has_live_leader(now) => false,
            _ if term > self.term() => {
                self.set_term(term, None);
                self.become_follower(now, None);
                true
            }
            _ if term == self.term() => true,
            // The reply carries the newer term, so that the sender steps down.
            MessageKind::Append { round, .. } | MessageKind::InstallSnapshot { round, .. } => {
                let sent_ms = self.sent_ms(now);
                let reply = MessageKind::AppendReply {
                    accepted: false,
                    index: 0,
                    round: *round,
                    sent_ms,
                };
                self.send(from, reply);
                false
            }
            MessageKind::Vote { .. } => {
                self.send(from, MessageKind::VoteReply { granted: false });
                false
            }
            _ => false,
        }
    }

    pub(super) fn set_term(&mut self, term: u64, voted_for: Option<Member>) {
        self.hard_state.term = term;
        self.hard_state.voted_for = voted_for;
        self.hard_state_changed = true;
        self.matched = self.commit_index;
        self.round = 0;
    }

    /// Returns whether this node knows a live leader. It may be the leader itself, because a leader
    /// that loses its majority steps down.
    pub(super) fn has_live_leader(&self, now: Duration) -> bool {
        let timeout = self.settings.timing.election_timeout_min;
        let recent_contact = self
            .last_leader_contact
            .is_some_and(|at| now.saturating_sub(at) < timeout);
        matches!(self.state, State::Leader(_)) || (self.leader.is_some() && recent_contact)
    }

    /// Returns whether this node may vote for a candidate whose log ends in (term, index) `last`.
    /// That log must be at least as up to date as the log of this node. A node without a membership
    /// never votes, because it cannot know whether it takes part in forming a cluster.
    fn may_vote_for(&self, last: (u64, u64)) -> bool {
        let (index, term) = self.log.last();
        self.is_formed() && last >= (term, index)
    }

    /// Returns whether this node may stand for election. A voter whose removal is not known to be
    /// committed may have to lead again, because its log may be the only one with the removal.
    pub(super) fn may_campaign(&self) -> bool {
        let own = self.member();
        let mut possible = self.log.possible_memberships(self.commit_index).iter();
        !self.stopping && possible.any(|(_, m)| m.is_voter(own))
    }

    pub(super) fn start_pre_vote(&mut self, now: Duration) {
        self.reset_election_timer(now);
        if !self.may_campaign() {
            return;
        }
        self.leader = None;
        self.state = State::PreCandidate(BTreeSet::from([self.member()]));
        let (last_index, last_term) = self.log.last();
        let request = MessageKind::PreVote {
            last_index,
            last_term,
        };
        self.send_to_voters(self.term() + 1, &request);
        self.count_pre_votes(now);
    }

    pub(super) fn receive_pre_vote(
        &mut self,
        now: Duration,
        from: Member,
        term: u64,
        last: (u64, u64),
    ) {
        let granted = term > self.term() && !self.has_live_leader(now) && self.may_vote_for(last);
        let reply_term = if granted { term } else { self.term() };
        self.send_in_term(from, reply_term, MessageKind::PreVoteReply { granted });
    }

    pub(super) fn receive_pre_vote_reply(
        &mut self,
        now: Duration,
        from: Member,
        term: u64,
        granted: bool,
    ) {
        let next_term = self.term() + 1;
        match &mut self.state {
            State::PreCandidate(votes) if granted && term == next_term => {
                votes.insert(from);
                self.count_pre_votes(now);
            }
            _ => {}
        }
    }

    fn count_pre_votes(&mut self, now: Duration) {
        match &self.state {
            State::PreCandidate(votes) if self.is_majority(votes) => {
                self.start_election(now, false);
            }
            _ => {}
        }
    }

    fn start_election(&mut self, now: Duration, transfer: bool) {
        let own = self.member();
        self.set_term(self.term() + 1, Some(own));
        self.reset_election_timer(now);
        self.leader = None;
        self.state = State::Candidate(BTreeSet::from([own]));
        let (last_index, last_term) = self.log.last();
        let request = MessageKind::Vote {
            last_index,
            last_term,
            transfer,
        };
        self.send_to_voters(self.term(), &request);
        self.count_votes(now);
    }

    pub(super) fn receive_vote(
        &mut self,
        now: Duration,
        from: Member,
        term: u64,
        last: (u64, u64),
    ) {
        let can_vote = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = term == self.term() && can_vote && self.may_vote_for(last);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.hard_state_changed = true;
            self.reset_election_timer(now);
        }
        self.send(from, MessageKind::VoteReply { granted });
    }

    pub(super) fn receive_vote_reply(&mut self, now: Duration, from: Member, granted: bool) {
        match &mut self.state {
            State::Candidate(votes) if granted => {
                votes.insert(from);
                self.count_votes(now);
            }
            _ => {}
        }
    }

    fn count_votes(&mut self, now: Duration) {
        match &self.state {
            State::Candidate(votes) if self.is_majority(votes) => self.become_leader(now),
            _ => {}
        }
    }

    fn become_leader(&mut self, now: Duration) {
        self.leader = Some(self.member());
        let first_index = self.log.last_index() + 1;
        self.state = State::Leader(LeaderState::new(first_index, now));
        self.update_progress(now);
        self.append_as_leader(Payload::Noop);
        self.begin_round(now);
    }

    /// Starts an election without a pre-vote, because the leader transfers leadership to this node.
    pub(super) fn receive_timeout_now(&mut self, now: Duration, from: Member) {
        if self.leader == Some(from) && self.may_campaign() {
            self.start_election(now, true);
        }
    }

    fn is_majority(&self, votes: &BTreeSet<Member>) -> bool {
        let membership = self.membership();
        let counted = membership.voters.iter().filter(|v| votes.contains(v));
        counted.count() >= membership.majority()
    }

    fn send_to_voters(&mut self, term: u64, kind: &MessageKind) {
        let own = self.member();
        let voters = self.membership().voters.clone();
        for voter in voters.into_iter().filter(|v| *v != own) {
            self.send_in_term(voter, term, kind.clone());
        }
    }

    /// Reports a change of role to the driver.
    pub(super) fn report_role(&mut self) {
        let role = self.role();
        if self.reported_role != Some(role) {
            self.reported_role = Some(role);
            self.outputs.push(Output::RoleChanged(role));
        }
    }
}

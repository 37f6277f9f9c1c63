//! Membership changes, and repair of the membership after the loss of a disk.

use super::{Node, State};
use crate::{Member, Membership, Payload, Progress, ProposalError, ProposalId};
use std::time::Duration;

/// One step in the repair of the membership.
#[derive(Clone, Copy, Debug)]
enum RepairStep {
    /// Promotes a learner to a voter.
    PromoteLearner(Member),
    /// Removes a voter whose replica has returned with another storage.
    RemoveReplaced(Member),
    /// Removes a voter that may be gone permanently.
    RemoveUnresponsive(Member),
    /// Removes a learner that may be gone permanently.
    RemoveLearner(Member),
}

impl RepairStep {
    fn apply(self, membership: &Membership) -> Membership {
        let mut next = membership.clone();
        match self {
            RepairStep::PromoteLearner(learner) => {
                next.learners.retain(|l| *l != learner);
                next.voters.push(learner);
            }
            RepairStep::RemoveReplaced(voter) | RepairStep::RemoveUnresponsive(voter) => {
                next.voters.retain(|v| *v != voter);
            }
            RepairStep::RemoveLearner(learner) => next.learners.retain(|l| *l != learner),
        }
        next
    }
}

impl Node {
    /// Appends a membership that differs by at most one voter. The previous change and an entry of
    /// the current term must be committed. Otherwise a change of an earlier leader, unknown to this
    /// node, could be in effect elsewhere, and its majorities could share no voter with those of
    /// the new membership.
    pub(super) fn propose_membership(
        &mut self,
        now: Duration,
        mut next: Membership,
        id: Option<ProposalId>,
    ) -> Result<(), ProposalError> {
        let (changed_at, current) = self.log.membership();
        let State::Leader(leader_state) = &self.state else {
            return Err(ProposalError::NotLeader);
        };
        next.voters.sort_unstable();
        next.learners.sort_unstable();
        let prior_committed =
            changed_at <= self.commit_index && leader_state.first_index <= self.commit_index;
        let responsive = next
            .voters
            .iter()
            .filter(|v| self.is_responsive(now, **v))
            .count();
        // With fewer responsive voters the change could neither be committed nor reverted.
        let committable = responsive >= next.majority();
        let may_change = prior_committed && leader_state.transfer.is_none();
        if !may_change || !committable || !current.can_change_to(&next) {
            return Err(ProposalError::Rejected);
        }
        let index = self.append_as_leader(Payload::Membership(next));
        self.track_proposal(index, id);
        self.update_progress(now);
        Ok(())
    }

    /// Adds and removes progress entries to match the current membership.
    pub(super) fn update_progress(&mut self, now: Duration) {
        let own = self.member();
        let next = self.log.last_index() + 1;
        let members: Vec<_> = self.membership().members().collect();
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.progress.retain(|m, _| members.contains(m));
            for member in members.into_iter().filter(|m| *m != own) {
                let progress = leader_state.progress.entry(member);
                progress.or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    /// Adds a replica whose storage is not in the membership as a learner, if one of two conditions
    /// holds. Either the membership has members of the same replica and none of them replies any
    /// more, or the membership is open and has no member of that replica. A `Hello` that arrives
    /// late therefore has no effect while the replica's current member replies.
    pub(super) fn admit(&mut self, now: Duration, newcomer: Member) {
        let membership = self.membership();
        let predecessors: Vec<_> = membership
            .members()
            .filter(|m| m.replica == newcomer.replica)
            .collect();
        let admissible = match predecessors.is_empty() {
            true => self.settings.open_membership,
            false => predecessors.iter().all(|m| !self.is_responsive(now, *m)),
        };
        if !admissible || membership.contains(newcomer) {
            return;
        }
        let mut next = membership.clone();
        next.learners.retain(|l| l.replica != newcomer.replica);
        next.learners.push(newcomer);
        // A rejection is not an error, because the replica repeats its `Hello`.
        let _ = self.propose_membership(now, next, None);
    }

    /// Proposes the next step towards a membership of the running replicas, if there is one.
    pub(super) fn repair_membership(&mut self, now: Duration) {
        self.prune_pending_replacements();
        let Some(repair) = self.next_repair(now) else {
            return;
        };
        let next = repair.apply(self.membership());
        // Looked up first, because the leader drops its progress for a voter once it is removed.
        let matching_replacement = self.matching_replacement(repair);
        // A rejection is not an error, because the next tick retries.
        let proposed = self.propose_membership(now, next, None).is_ok();
        match (&mut self.state, repair) {
            (State::Leader(leader_state), RepairStep::PromoteLearner(_)) if proposed => {
                match std::mem::take(&mut leader_state.slot_freed) {
                    true => {}
                    false => leader_state.pending_replacements.push(now),
                }
            }
            (State::Leader(leader_state), RepairStep::RemoveUnresponsive(_)) if proposed => {
                match matching_replacement {
                    Some(position) => drop(leader_state.pending_replacements.remove(position)),
                    None => leader_state.slot_freed = true,
                }
            }
            _ => {}
        }
    }

    /// Returns the next repair step, if any.
    ///
    /// A voter whose storage is lost is replaced by a learner that has caught up. The old member is
    /// removed first, so that the new one never makes a majority harder to reach. A learner is
    /// promoted only if the other voters reach the majority without it, because the learner may be
    /// lost at the same time. Voters that are gone permanently would accumulate until no majority
    /// can be reached, so one of them is removed for each new replica.
    fn next_repair(&self, now: Duration) -> Option<RepairStep> {
        let membership = self.membership();
        let voters = &membership.voters;
        let predecessor_of = |learner: &Member| {
            voters
                .iter()
                .find(|v| v.replica == learner.replica)
                .copied()
        };
        let responsive: Vec<_> = membership
            .learners
            .iter()
            .copied()
            .filter(|l| self.is_responsive(now, *l))
            .collect();
        let is_ready = |learner: &&Member| self.has_caught_up(**learner);
        let majority_after_promotion = voters.len().div_ceil(2) + 1;
        let majority_responsive = voters
            .iter()
            .filter(|v| self.is_responsive(now, **v))
            .count()
            >= majority_after_promotion;
        let newcomers = || responsive.iter().filter(|l| predecessor_of(l).is_none());
        let newcomer = newcomers().find(is_ready).copied();
        let mut replaced_voters = responsive
            .iter()
            .filter(is_ready)
            .filter_map(predecessor_of);
        let replaced_voter = replaced_voters.find(|v| !self.is_responsive(now, *v));
        let unresponsive = self
            .longest_unresponsive(now, voters)
            .map(RepairStep::RemoveUnresponsive);
        let unresponsive_learner = self.longest_unresponsive(now, &membership.learners);
        match newcomer {
            Some(newcomer) if majority_responsive => Some(RepairStep::PromoteLearner(newcomer)),
            // No other voter is removed until the new replica has been promoted.
            _ if majority_responsive && newcomers().next().is_some() => None,
            _ if replaced_voter.is_some() => replaced_voter.map(RepairStep::RemoveReplaced),
            // Without the unresponsive voter, the others may reach the majority.
            Some(_) if unresponsive.is_some() && !self.slot_freed() => unresponsive,
            _ => unresponsive
                .filter(|unresponsive| self.matching_replacement(*unresponsive).is_some())
                .or(unresponsive_learner.map(RepairStep::RemoveLearner)),
        }
    }

    /// Drops the pending replacements that no longer match a voter, because all voters have replied
    /// since.
    fn prune_pending_replacements(&mut self) {
        let voters = &self.log.membership().1.voters;
        if let State::Leader(leader_state) = &mut self.state {
            let progress = &leader_state.progress;
            let contacts = voters
                .iter()
                .filter_map(|v| Some(progress.get(v)?.last_contact()));
            let oldest_contact = contacts.min();
            leader_state
                .pending_replacements
                .retain(|at| oldest_contact.is_some_and(|o| o <= *at));
        }
    }

    /// Returns the position of the first pending replacement that may stand for the unresponsive
    /// voter. The voter must have last replied before the new replica was promoted.
    fn matching_replacement(&self, repair: RepairStep) -> Option<usize> {
        match (&self.state, repair) {
            (State::Leader(leader_state), RepairStep::RemoveUnresponsive(unresponsive)) => {
                let last_contact = self.last_contact(unresponsive)?;
                leader_state
                    .pending_replacements
                    .iter()
                    .position(|at| last_contact <= *at)
            }
            _ => None,
        }
    }

    fn slot_freed(&self) -> bool {
        matches!(&self.state, State::Leader(leader_state) if leader_state.slot_freed)
    }

    /// Returns the member of an open membership that has not replied for the longest time. `None`
    /// if no member has been silent for the replacement timeout.
    fn longest_unresponsive(&self, now: Duration, members: &[Member]) -> Option<Member> {
        let limit = self.settings.timing.replacement_timeout;
        let contacts = members
            .iter()
            .filter_map(|m| Some((self.last_contact(*m)?, *m)));
        contacts
            .filter(|(at, _)| self.settings.open_membership && now.saturating_sub(*at) >= limit)
            .min()
            .map(|(_, member)| member)
    }

    /// Returns the time of the latest known contact between this leader and another member.
    fn last_contact(&self, member: Member) -> Option<Duration> {
        match &self.state {
            State::Leader(leader_state) => {
                leader_state.progress.get(&member).map(|p| p.last_contact())
            }
            _ => None,
        }
    }

    fn is_responsive(&self, now: Duration, member: Member) -> bool {
        let timeout = self.settings.timing.election_timeout_max;
        let last_contact = self.last_contact(member);
        member == self.member() || last_contact.is_some_and(|at| now.saturating_sub(at) <= timeout)
    }

    /// Returns whether a member has all committed entries and the latest membership, which includes
    /// its own addition.
    fn has_caught_up(&self, member: Member) -> bool {
        match &self.state {
            State::Leader(leader_state) => leader_state
                .progress
                .get(&member)
                .is_some_and(|p| p.matched >= self.commit_index.max(self.log.membership().0)),
            _ => false,
        }
    }
}

//! Membership changes, and repair of the membership after the loss of a disk.

use super::{Node, State};
use crate::{Member, Membership, Payload, Progress, ProposalError, ProposalId};
use std::time::Duration;

/// Minimum number of voters that the removal of an unresponsive voter may leave. With two, the loss
/// of one of them would stop the cluster.
const MIN_REMAINING_VOTERS: usize = 3;

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
        if let Some(repair) = self.next_repair(now) {
            let next = repair.apply(self.membership());
            // A rejection is not an error, because the next tick retries.
            let _ = self.propose_membership(now, next, None);
        }
    }

    /// Returns the next repair step, if any.
    ///
    /// It follows from the membership and from who replies, so a new leader continues where its
    /// predecessor stopped.
    ///
    /// A voter whose storage is lost is replaced by a learner that has caught up. The old member is
    /// removed first, so that the new one never makes a majority harder to reach.
    ///
    /// Any other learner is promoted only if the voters reach the majority without it, because it
    /// may be lost at the same time, or if an unresponsive voter can be removed right after.
    ///
    /// Voters that are gone permanently would accumulate until no majority can be reached. Those
    /// that the membership can spare are removed.
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
        let unresponsive = self.longest_unresponsive(now, voters);
        let unresponsive_learner = self.longest_unresponsive(now, &membership.learners);
        match newcomer {
            // The unresponsive voter is not removed first: it may come back, and its vote would be
            // missing if the disk of another voter were lost before the promotion.
            Some(newcomer) if majority_responsive || unresponsive.is_some() => {
                Some(RepairStep::PromoteLearner(newcomer))
            }
            // A learner that only lacks the latest change is promoted next. Until then the number of
            // voters is one too low to judge whether another voter can be spared.
            _ if newcomers().any(|l| self.was_caught_up(now, *l)) => None,
            _ if replaced_voter.is_some() => replaced_voter.map(RepairStep::RemoveReplaced),
            _ => unresponsive
                .filter(|voter| self.can_spare(now, *voter))
                .map(RepairStep::RemoveUnresponsive)
                .or(unresponsive_learner.map(RepairStep::RemoveLearner)),
        }
    }

    /// Returns whether the membership can do without a voter that does not reply, and that may only
    /// be paused.
    ///
    /// An even number of voters bears no more losses than one voter less, so the voter is never
    /// missed. With an odd number it depends on how many losses must be borne. If that is not
    /// known, the voter counts as gone permanently after a longer time.
    pub(super) fn can_spare(&self, now: Duration, voter: Member) -> bool {
        let voters = self.membership().voters.len();
        let remaining = voters.saturating_sub(1);
        let silence = self.progress(voter).map(|p| p.silence(now));
        let expired = silence.is_some_and(|s| s >= self.settings.timing.expiry_timeout);
        let bears_losses = match self.settings.tolerated_losses {
            _ if voters.is_multiple_of(2) => true,
            Some(losses) => remaining > 2 * losses,
            None => expired,
        };
        bears_losses && remaining >= MIN_REMAINING_VOTERS
    }

    /// Returns the member of an open membership that has been silent the longest, leaving ones first.
    /// `None` if no member is leaving or has been silent for the replacement timeout.
    fn longest_unresponsive(&self, now: Duration, members: &[Member]) -> Option<Member> {
        let limit = self.settings.timing.replacement_timeout;
        let tracked = members
            .iter()
            .filter_map(|m| Some((self.progress(*m)?, *m)));
        tracked
            .map(|(progress, member)| (!progress.is_leaving(now), progress.last_contact(), member))
            .filter(|(stays, at, _)| !stays || now.saturating_sub(*at) >= limit)
            .filter(|_| self.settings.open_membership)
            .min()
            .map(|(_, _, member)| member)
    }

    /// Returns the leader's view of the replication to another member.
    fn progress(&self, member: Member) -> Option<&Progress> {
        match &self.state {
            State::Leader(leader_state) => leader_state.progress.get(&member),
            _ => None,
        }
    }

    fn is_responsive(&self, now: Duration, member: Member) -> bool {
        let timeout = self.settings.timing.election_timeout_max;
        let replies = |p: &Progress| !p.is_leaving(now) && p.silence(now) <= timeout;
        member == self.member() || self.progress(member).is_some_and(replies)
    }

    /// Returns whether a member has all committed entries and the latest membership, which includes
    /// its own addition.
    fn has_caught_up(&self, member: Member) -> bool {
        self.progress(member)
            .is_some_and(|p| p.matched >= self.commit_index.max(self.log.membership().0))
    }

    /// Returns whether a member had caught up at some time within the last election timeout.
    fn was_caught_up(&self, now: Duration, member: Member) -> bool {
        let timeout = self.settings.timing.election_timeout_max;
        self.progress(member)
            .and_then(|p| p.caught_up_at)
            .is_some_and(|at| now.saturating_sub(at) <= timeout)
    }

    /// Records that a member has caught up, if it has.
    pub(super) fn record_caught_up(&mut self, now: Duration, member: Member) {
        let caught_up = self.has_caught_up(member);
        match &mut self.state {
            State::Leader(leader_state) if caught_up => {
                if let Some(progress) = leader_state.progress.get_mut(&member) {
                    progress.caught_up_at = Some(now);
                }
            }
            _ => {}
        }
    }
}

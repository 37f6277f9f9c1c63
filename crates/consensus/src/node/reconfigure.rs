//! Membership changes, and the repair after a lost disk.

use super::{Node, State};
use crate::{Member, Membership, Payload, Progress, ProposalError, ProposalId};
use std::time::Duration;

impl Node {
    /// Appends a membership one voter away. The previous change must be committed, and so must an
    /// entry of the own term: otherwise a change of an earlier leader, unknown here, could be in
    /// force elsewhere, with majorities that share no voter with those of the new one.
    pub(super) fn propose_membership(
        &mut self,
        now: Duration,
        mut next: Membership,
        id: Option<ProposalId>,
    ) -> Result<(), ProposalError> {
        let (changed_at, current) = self.log.membership();
        let State::Leader(leadership) = &self.state else {
            return Err(ProposalError::NotLeader);
        };
        next.voters.sort_unstable();
        next.learners.sort_unstable();
        let settled = changed_at <= self.commit_index && leadership.first <= self.commit_index;
        let answering = next
            .voters
            .iter()
            .filter(|v| self.answers(now, **v))
            .count();
        // With fewer, the change could not be committed, nor could it be undone.
        let reachable = answering >= next.majority();
        let free = settled && leadership.transfer.is_none();
        if !free || !reachable || !current.allows(&next) {
            return Err(ProposalError::Rejected);
        }
        let index = self.append_as_leader(Payload::Membership(next));
        self.remember(index, id);
        self.update_progress(now);
        Ok(())
    }

    /// Follows the membership with the leader's view of the others.
    pub(super) fn update_progress(&mut self, now: Duration) {
        let own = self.member();
        let next = self.log.last_index() + 1;
        let members: Vec<_> = self.membership().members().collect();
        if let State::Leader(leadership) = &mut self.state {
            leadership.progress.retain(|m, _| members.contains(m));
            for member in members.into_iter().filter(|m| *m != own) {
                let progress = leadership.progress.entry(member);
                progress.or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    /// A replica reports a storage that is in no membership. It becomes a learner if it stands for
    /// a voter or learner of the same replica that no longer answers, or if the membership is open
    /// and names no storage of this replica. An old `Hello` that arrives
    /// late therefore changes nothing while the member answers.
    pub(super) fn admit(&mut self, now: Duration, newcomer: Member) {
        let membership = self.membership();
        let former: Vec<_> = membership
            .members()
            .filter(|m| m.replica == newcomer.replica)
            .collect();
        let lost = match former.is_empty() {
            true => self.settings.open,
            false => former.iter().all(|m| !self.answers(now, *m)),
        };
        if !lost || membership.contains(newcomer) {
            return;
        }
        let mut next = membership.clone();
        next.learners.retain(|l| l.replica != newcomer.replica);
        next.learners.push(newcomer);
        // A refusal is not an error: the replica repeats its `Hello`.
        let _ = self.propose_membership(now, next, None);
    }

    /// Replaces voters whose storage is lost by learners that have caught up: the old member is
    /// removed first, so that the new one never makes a majority harder to reach. A learner is
    /// added only if the other voters reach the majority without it, because it may be lost at the
    /// same moment.
    pub(super) fn repair_membership(&mut self, now: Duration) {
        let membership = self.membership();
        let replaced = |learner: &Member| {
            let mut voters = membership.voters.iter();
            voters.find(|v| v.replica == learner.replica).copied()
        };
        let answering: Vec<_> = membership
            .learners
            .iter()
            .copied()
            .filter(|l| self.answers(now, *l))
            .collect();
        let ready = |learner: &Member| self.has_caught_up(*learner);
        let voters = &membership.voters;
        let majority_after = voters.len().div_ceil(2) + 1;
        let majority_answers =
            voters.iter().filter(|v| self.answers(now, **v)).count() >= majority_after;
        let mut next = membership.clone();
        let mut unreplaced = answering.iter().filter(|l| replaced(l).is_none());
        match unreplaced.clone().find(|l| ready(l)) {
            Some(learner) if majority_answers => {
                next.learners.retain(|l| l != learner);
                next.voters.push(*learner);
            }
            // Another voter is removed only after this one has been added.
            _ if majority_answers && unreplaced.next().is_some() => return,
            _ => {
                let mut voters = answering.iter().filter(|l| ready(l)).filter_map(replaced);
                let Some(lost) = voters.find(|v| !self.answers(now, *v)) else {
                    return;
                };
                next.voters.retain(|v| *v != lost);
            }
        }
        // A refusal is not an error: the next tick tries again.
        let _ = self.propose_membership(now, next, None);
    }

    fn answers(&self, now: Duration, member: Member) -> bool {
        let timeout = self.settings.timing.election_max;
        match &self.state {
            _ if member == self.member() => true,
            State::Leader(leadership) => leadership
                .progress
                .get(&member)
                .is_some_and(|p| now.saturating_sub(p.heard_at()) <= timeout),
            _ => false,
        }
    }

    /// Whether a member has everything committed, its own admission included.
    fn has_caught_up(&self, member: Member) -> bool {
        match &self.state {
            State::Leader(leadership) => leadership
                .progress
                .get(&member)
                .is_some_and(|p| p.matched >= self.commit_index.max(self.log.membership().0)),
            _ => false,
        }
    }
}

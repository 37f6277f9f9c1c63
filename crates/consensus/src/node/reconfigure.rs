//! Membership changes, and the repair after a lost disk.

use super::{Node, State};
use crate::{Member, Membership, Payload, Progress, ProposalError, ProposalId};
use std::time::Duration;

/// One step of a repair of the membership.
#[derive(Clone, Copy, Debug)]
enum Repair {
    /// A learner becomes a voter.
    Add(Member),
    /// A voter is removed whose replica is back with another storage.
    RemoveLost(Member),
    /// A voter is removed that may be gone for good.
    RemoveGone(Member),
    /// A learner is removed that may be gone for good.
    RemoveLearner(Member),
}

impl Repair {
    fn apply(self, membership: &Membership) -> Membership {
        let mut next = membership.clone();
        match self {
            Repair::Add(learner) => {
                next.learners.retain(|l| *l != learner);
                next.voters.push(learner);
            }
            Repair::RemoveLost(voter) | Repair::RemoveGone(voter) => {
                next.voters.retain(|v| *v != voter);
            }
            Repair::RemoveLearner(learner) => next.learners.retain(|l| *l != learner),
        }
        next
    }
}

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
        if !free || !reachable || !current.can_change_to(&next) {
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
    /// and names no storage of this replica. An old `Hello` that arrives late therefore changes
    /// nothing while the member answers.
    pub(super) fn admit(&mut self, now: Duration, newcomer: Member) {
        let membership = self.membership();
        let former: Vec<_> = membership
            .members()
            .filter(|m| m.replica == newcomer.replica)
            .collect();
        let lost = match former.is_empty() {
            true => self.settings.open_membership,
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

    /// Takes the next step towards a membership of the replicas that run, if there is one.
    pub(super) fn repair_membership(&mut self, now: Duration) {
        self.forget_successions();
        let Some(repair) = self.next_repair(now) else {
            return;
        };
        let next = repair.apply(self.membership());
        // Looked up first: nothing is known about a voter once it is removed.
        let succession = self.succession(repair);
        // A refusal is not an error: the next tick tries again.
        let proposed = self.propose_membership(now, next, None).is_ok();
        match (&mut self.state, repair) {
            (State::Leader(leadership), Repair::Add(_)) if proposed => {
                match std::mem::take(&mut leadership.room_made) {
                    true => {}
                    false => leadership.successions.push(now),
                }
            }
            (State::Leader(leadership), Repair::RemoveGone(_)) if proposed => match succession {
                Some(position) => drop(leadership.successions.remove(position)),
                None => leadership.room_made = true,
            },
            _ => {}
        }
    }

    /// Replaces voters whose storage is lost by learners that have caught up: the old member is
    /// removed first, so that the new one never makes a majority harder to reach. A learner is
    /// added only if the other voters reach the majority without it, because it may be lost at the
    /// same moment. Voters that are gone for good would add up until a majority is out of reach:
    /// one of them is removed for each newcomer.
    fn next_repair(&self, now: Duration) -> Option<Repair> {
        let membership = self.membership();
        let voters = &membership.voters;
        let replaced = |learner: &Member| {
            voters
                .iter()
                .find(|v| v.replica == learner.replica)
                .copied()
        };
        let answering: Vec<_> = membership
            .learners
            .iter()
            .copied()
            .filter(|l| self.answers(now, *l))
            .collect();
        let ready = |learner: &&Member| self.has_caught_up(**learner);
        let majority_after = voters.len().div_ceil(2) + 1;
        let majority_answers =
            voters.iter().filter(|v| self.answers(now, **v)).count() >= majority_after;
        let newcomers = || answering.iter().filter(|l| replaced(l).is_none());
        let newcomer = newcomers().find(ready).copied();
        let mut replaceable = answering.iter().filter(ready).filter_map(replaced);
        let lost = replaceable.find(|v| !self.answers(now, *v));
        let gone = self.longest_silent(now, voters).map(Repair::RemoveGone);
        let silent_learner = self.longest_silent(now, &membership.learners);
        match newcomer {
            Some(newcomer) if majority_answers => Some(Repair::Add(newcomer)),
            // Another voter is removed only after this one has been added.
            _ if majority_answers && newcomers().next().is_some() => None,
            _ if lost.is_some() => lost.map(Repair::RemoveLost),
            // Without the voter that is gone, the others may reach the majority.
            Some(_) if gone.is_some() && !self.room_made() => gone,
            _ => gone
                .filter(|gone| self.succession(*gone).is_some())
                .or(silent_learner.map(Repair::RemoveLearner)),
        }
    }

    /// Drops the successions whose predecessors have answered since.
    fn forget_successions(&mut self) {
        let voters = &self.log.membership().1.voters;
        if let State::Leader(leadership) = &mut self.state {
            let progress = &leadership.progress;
            let heard = voters
                .iter()
                .filter_map(|v| Some(progress.get(v)?.heard_at()));
            let oldest = heard.min();
            leadership
                .successions
                .retain(|at| oldest.is_some_and(|o| o <= *at));
        }
    }

    /// Position of the succession that a voter that is gone may have had: it was last heard before
    /// the newcomer was added.
    fn succession(&self, repair: Repair) -> Option<usize> {
        match (&self.state, repair) {
            (State::Leader(leadership), Repair::RemoveGone(gone)) => {
                let heard_at = self.heard_at(gone)?;
                leadership.successions.iter().position(|at| heard_at <= *at)
            }
            _ => None,
        }
    }

    fn room_made(&self) -> bool {
        matches!(&self.state, State::Leader(leadership) if leadership.room_made)
    }

    /// The member of an open membership that has not answered for longest, if that is so long that
    /// it may be gone.
    fn longest_silent(&self, now: Duration, members: &[Member]) -> Option<Member> {
        let limit = self.settings.timing.replacement_timeout;
        let heard = members
            .iter()
            .filter_map(|m| Some((self.heard_at(*m)?, *m)));
        heard
            .filter(|(at, _)| self.settings.open_membership && now.saturating_sub(*at) >= limit)
            .min()
            .map(|(_, member)| member)
    }

    /// When the leader last heard another member.
    fn heard_at(&self, member: Member) -> Option<Duration> {
        match &self.state {
            State::Leader(leadership) => leadership.progress.get(&member).map(|p| p.heard_at()),
            _ => None,
        }
    }

    fn answers(&self, now: Duration, member: Member) -> bool {
        let timeout = self.settings.timing.election_timeout_max;
        let heard_at = self.heard_at(member);
        member == self.member() || heard_at.is_some_and(|at| now.saturating_sub(at) <= timeout)
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

//! Commit position, durability and compaction.

use super::{Node, State};
use crate::{Leadership, Output, Payload};
use std::time::Duration;

impl Node {
    pub(super) fn commit_to(&mut self, now: Duration, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.entry(self.commit_index + 1).cloned() else {
                break;
            };
            self.commit_index = entry.index;
            let proposal = match &mut self.state {
                State::Leader(leadership) => leadership.proposals.remove(&entry.index),
                _ => None,
            };
            let index = entry.index;
            self.results.push(Output::Commit(entry));
            self.results
                .extend(proposal.map(|id| Output::ProposalCommitted { id, index }));
        }
        self.confirmation.committed(self.commit_index);
        let (changed_at, membership) = self.log.membership();
        let removed = changed_at <= self.commit_index && !membership.is_voter(self.member());
        if removed && matches!(self.state, State::Leader(_)) {
            self.follow(now, None);
        }
    }

    /// Commits what a majority has synced. Entries of earlier terms are committed only together
    /// with one of the own term: alone they could still be replaced by a leader that lacks them.
    pub(super) fn advance_commit(&mut self, now: Duration) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let index = Leadership::majority_of(self.membership(), |voter| {
            if voter == self.member() {
                Some(self.log.persisted())
            } else {
                leadership.progress.get(&voter).map(|p| p.matched)
            }
        });
        if let Some(index) = index
            && self.log.term(index) == Some(self.term())
        {
            self.commit_to(now, index);
        }
    }

    pub(super) fn persisted(&mut self, now: Duration, index: u64, term: u64) {
        if !self.log.mark_persisted(index, term) {
            return;
        }
        match (&self.state, self.leader) {
            (State::Leader(_), _) => self.advance_commit(now),
            (_, Some(leader)) => self.reply_to_append(now, leader),
            _ => {}
        }
    }

    /// Drops the log up to a snapshot of the state machine. Only committed positions qualify.
    pub(super) fn compact(&mut self, index: u64, data: Vec<u8>) {
        if index > self.commit_index {
            return;
        }
        let keep = self.settings.timing.retained_entries;
        let snapshot = self.log.compact(index, data, keep);
        self.outputs.extend(snapshot.map(Output::SaveSnapshot));
    }

    /// Appends at the leader. The entry counts at the leader only once it is persisted.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        self.log.append(crate::Entry {
            index,
            term: self.term(),
            payload,
        });
        index
    }
}

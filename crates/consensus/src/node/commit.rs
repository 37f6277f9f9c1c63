//! Commit index, durability and compaction.

use super::{Node, State};
use crate::{LeaderState, Output, Payload};
use std::time::Duration;

impl Node {
    pub(super) fn commit_up_to(&mut self, now: Duration, index: u64) {
        while self.commit_index < index {
            let Some(entry) = self.log.entry(self.commit_index + 1).cloned() else {
                break;
            };
            self.commit_index = entry.index;
            let proposal = match &mut self.state {
                State::Leader(leader_state) => leader_state.proposals.remove(&entry.index),
                _ => None,
            };
            let index = entry.index;
            self.results.push(Output::Commit(entry));
            self.results
                .extend(proposal.map(|id| Output::ProposalCommitted { id, index }));
        }
        self.confirmation.on_commit(self.commit_index);
        let (changed_at, membership) = self.log.membership();
        let removed = changed_at <= self.commit_index && !membership.is_voter(self.member());
        if removed && matches!(self.state, State::Leader(_)) {
            self.become_follower(now, None);
        }
    }

    /// Commits the entries that a majority has synced. Entries of earlier terms are committed only
    /// together with an entry of the current term. Otherwise a later leader that lacks them could
    /// still replace them.
    pub(super) fn advance_commit(&mut self, now: Duration) {
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let index = LeaderState::majority_of(self.membership(), |voter| {
            if voter == self.member() {
                Some(self.log.persisted())
            } else {
                leader_state.progress.get(&voter).map(|p| p.matched)
            }
        });
        if let Some(index) = index
            && self.log.term(index) == Some(self.term())
        {
            self.commit_up_to(now, index);
        }
    }

    pub(super) fn handle_persisted(&mut self, now: Duration, index: u64, term: u64) {
        if !self.log.mark_persisted(index, term) {
            return;
        }
        match (&self.state, self.leader) {
            (State::Leader(_), _) => self.advance_commit(now),
            (_, Some(leader)) => self.reply_to_append(now, leader),
            _ => {}
        }
    }

    /// Compacts the log up to a snapshot of the state machine. Ignores a snapshot that includes
    /// uncommitted entries.
    pub(super) fn compact(&mut self, index: u64, data: Vec<u8>) {
        if index > self.commit_index {
            return;
        }
        let timing = &self.settings.timing;
        let (entries, bytes) = (timing.retained_entries, timing.retained_bytes);
        let snapshot = self.log.compact(index, data, entries, bytes);
        self.outputs.extend(snapshot.map(Output::SaveSnapshot));
    }

    /// Appends an entry as the leader and returns its index. The leader's copy counts towards the
    /// majority only once it is persisted.
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

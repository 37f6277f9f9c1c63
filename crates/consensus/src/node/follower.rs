//! Appends and snapshots received by a follower.

use super::{Node, State};
use crate::{Entry, Member, MessageKind, Output, Snapshot};
use std::time::Duration;

impl Node {
    /// Returns the time on this node's clock in milliseconds, from the random origin of this start
    /// of the process.
    pub(super) fn sent_ms(&self, now: Duration) -> u64 {
        let since_start = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.clock_origin_ms.saturating_add(since_start)
    }

    /// Converts the echo of a reply to the time at which this process sent the reply. `None` if an
    /// earlier process sent it.
    fn echoed_at(&self, now: Duration, echo_ms: u64) -> Option<Duration> {
        let since_start = echo_ms.checked_sub(self.clock_origin_ms);
        since_start
            .map(Duration::from_millis)
            .filter(|sent| *sent <= now)
    }

    fn record_leader_contact(&mut self, now: Duration, from: Member, round: u64) {
        if !matches!(self.state, State::Follower) {
            self.become_follower(now, Some(from));
        }
        self.leader = Some(from);
        self.last_leader_contact = Some(now);
        // The log names the members from now on.
        self.peer_replicas.clear();
        self.round = self.round.max(round);
        self.reset_election_timer(now);
    }

    pub(super) fn receive_append(&mut self, now: Duration, from: Member, append: MessageKind) {
        let MessageKind::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
            echo_ms,
            confirmed_age_ms,
        } = append
        else {
            return;
        };
        self.record_leader_contact(now, from, round);
        // Committed entries always match, and may already be compacted here.
        let is_committed = prev_index < self.commit_index;
        if !is_committed && self.log.term(prev_index) != Some(prev_term) {
            let last = self.log.last_index();
            let next = if prev_index > last {
                last + 1
            } else {
                self.log.first_index_of_term(prev_index)
            };
            let index = next.max(self.commit_index + 1);
            return self.send_append_reply(now, from, false, index);
        }
        let end = prev_index + entries.len() as u64;
        let appended = self.append_from_leader(entries);
        self.matched = self.matched.max(end);
        self.commit_up_to(now, commit.min(self.matched));
        match self.echoed_at(now, echo_ms) {
            Some(sent) if confirmed_age_ms != u64::MAX => {
                let age = Duration::from_millis(confirmed_age_ms);
                self.confirmation
                    .record(commit, sent, age, self.commit_index);
            }
            _ => {}
        }
        if !appended {
            self.reply_to_append(now, from);
        }
    }

    /// Appends missing entries and replaces conflicting ones. Returns whether the log has changed.
    fn append_from_leader(&mut self, entries: Vec<Entry>) -> bool {
        let mut changed = false;
        for entry in entries {
            let uncommitted = entry.index > self.commit_index;
            if uncommitted && self.log.term(entry.index) != Some(entry.term) {
                self.log.truncate(entry.index);
                self.mark_formation_complete(&entry);
                self.log.append(entry);
                changed = true;
            }
        }
        changed
    }

    pub(super) fn receive_snapshot(
        &mut self,
        now: Duration,
        from: Member,
        snapshot: Snapshot,
        round: u64,
    ) {
        self.record_leader_contact(now, from, round);
        let (index, term) = (snapshot.index, snapshot.term);
        if index > self.commit_index && self.log.term(index) != Some(term) {
            // The snapshot replaces the state, so the entries committed before it are output first.
            self.flush(now);
            self.log.install(snapshot.clone());
            self.commit_index = index;
            self.outputs.push(Output::PersistSnapshot(snapshot));
        }
        self.matched = self.matched.max(index);
        self.commit_up_to(now, index);
        self.reply_to_append(now, from);
    }

    /// Acknowledges the entries that are synced and known to match the leader's log.
    pub(super) fn reply_to_append(&mut self, now: Duration, leader: Member) {
        let index = self.matched.min(self.log.persisted());
        self.send_append_reply(now, leader, true, index);
    }

    fn send_append_reply(&mut self, now: Duration, to: Member, accepted: bool, index: u64) {
        let reply = MessageKind::AppendReply {
            accepted,
            index,
            round: self.round,
            sent_ms: self.sent_ms(now),
        };
        self.send(to, reply);
    }
}

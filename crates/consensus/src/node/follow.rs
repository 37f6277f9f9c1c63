//! Appends and snapshots at a follower.

use super::{Node, State};
use crate::{Entry, Member, MessageKind, Output, Snapshot};
use std::time::Duration;

impl Node {
    /// The own time, with this start's origin.
    pub(super) fn sent_ms(&self, now: Duration) -> u64 {
        let since_start = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.clock_origin_ms.saturating_add(since_start)
    }

    /// When this process sent a reply, from its echo. `None` for an earlier process.
    fn echoed(&self, now: Duration, echo_ms: u64) -> Option<Duration> {
        let since_start = echo_ms.checked_sub(self.clock_origin_ms);
        since_start
            .map(Duration::from_millis)
            .filter(|sent| *sent <= now)
    }

    fn hear_leader(&mut self, now: Duration, from: Member, round: u64) {
        if !matches!(self.state, State::Follower) {
            self.follow(now, Some(from));
        }
        self.leader = Some(from);
        self.leader_heard = now;
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
        self.hear_leader(now, from, round);
        // Committed positions match in any case and may be compacted here.
        let known = prev_index < self.commit_index;
        if !known && self.log.term(prev_index) != Some(prev_term) {
            let last = self.log.last_index();
            let next = if prev_index > last {
                last + 1
            } else {
                self.log.start_of_term(prev_index)
            };
            let index = next.max(self.commit_index + 1);
            return self.send_append_reply(now, from, false, index);
        }
        let end = prev_index + entries.len() as u64;
        let appended = self.append_from_leader(entries);
        self.matched = self.matched.max(end);
        self.commit_to(now, commit.min(self.matched));
        match self.echoed(now, echo_ms) {
            Some(sent) if confirmed_age_ms != u64::MAX => {
                let age = Duration::from_millis(confirmed_age_ms);
                self.confirmation
                    .learn(commit, sent, age, self.commit_index);
            }
            _ => {}
        }
        if !appended {
            self.reply_to_append(now, from);
        }
    }

    /// Appends what the log lacks and replaces what differs. Returns whether it has changed.
    fn append_from_leader(&mut self, entries: Vec<Entry>) -> bool {
        let mut changed = false;
        for entry in entries {
            let uncommitted = entry.index > self.commit_index;
            if uncommitted && self.log.term(entry.index) != Some(entry.term) {
                self.log.truncate(entry.index);
                self.recognize_formation(&entry);
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
        self.hear_leader(now, from, round);
        let (index, term) = (snapshot.index, snapshot.term);
        if index > self.commit_index && self.log.term(index) != Some(term) {
            // What was committed before belongs to the state that the snapshot replaces.
            self.flush(now);
            self.log.install(snapshot.clone());
            self.commit_index = index;
            self.outputs.push(Output::PersistSnapshot(snapshot));
        }
        self.matched = self.matched.max(index);
        self.commit_to(now, index);
        self.reply_to_append(now, from);
    }

    /// Acknowledges what is synced and known to match the leader's log.
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

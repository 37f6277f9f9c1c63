//! Appends and snapshots sent by the leader.

use super::{Node, State};
use crate::{Entry, LeadershipTransfer, Member, MessageKind, ReplicationMode};
use std::time::Duration;

impl Node {
    /// Starts a heartbeat round by sending an append without entries to all other members.
    pub(super) fn begin_round(&mut self, now: Duration) {
        let interval = self.settings.timing.heartbeat_interval;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        leader_state.begin_round(now);
        leader_state.next_heartbeat = now + interval;
        let targets: Vec<_> = leader_state
            .progress
            .iter()
            .map(|(m, p)| (*m, p.next))
            .collect();
        for (to, next) in targets {
            let previous = (next - 1).max(self.log.previous().0);
            self.send_append(now, to, previous, Vec::new());
        }
    }

    /// Sends missing entries to followers, within the limits of their windows.
    pub(super) fn send_appends(&mut self, now: Duration) {
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let targets: Vec<_> = leader_state.progress.keys().copied().collect();
        for to in targets {
            while let Some(entries) = self.next_batch(now, to) {
                let previous = entries.first().map_or(0, |e| e.index - 1);
                self.send_append(now, to, previous, entries);
            }
        }
    }

    /// Returns the next entries for a follower if its window has room. If the entries are no longer
    /// in the log, sends a snapshot instead.
    fn next_batch(&mut self, now: Duration, to: Member) -> Option<Vec<Entry>> {
        let timing = self.settings.timing;
        let first = self.log.first_index();
        let State::Leader(leader_state) = &mut self.state else {
            return None;
        };
        let round = leader_state.round;
        let progress = leader_state.progress.get_mut(&to)?;
        let responsive = now.saturating_sub(progress.last_contact()) <= timing.election_timeout_max;
        if progress.next < first {
            match progress.mode {
                ReplicationMode::Snapshot(since)
                    if now.saturating_sub(since) < timing.snapshot_retry_interval => {}
                _ if !responsive => {}
                _ => {
                    progress.reset(ReplicationMode::Snapshot(now), progress.matched + 1);
                    // Cloned only here, because a snapshot can be many megabytes.
                    let snapshot = self.log.snapshot()?.clone();
                    self.send(to, MessageKind::InstallSnapshot { snapshot, round });
                }
            }
            return None;
        }
        let (appends, in_flight_bytes) = progress.window();
        let window_full = appends >= timing.max_in_flight_appends;
        if progress.mode != ReplicationMode::Replicate || window_full {
            return None;
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.log.entry(progress.next + entries.len() as u64) {
            let size = entry.size_bytes();
            let fits = bytes + size <= timing.max_append_bytes
                && in_flight_bytes + bytes + size <= timing.max_in_flight_bytes;
            if !fits && (in_flight_bytes > 0 || !entries.is_empty()) {
                break;
            }
            bytes += size;
            entries.push(entry.clone());
        }
        let last = entries.last()?.index;
        progress.record_sent(last, bytes);
        Some(entries)
    }

    fn send_append(&mut self, now: Duration, to: Member, prev_index: u64, entries: Vec<Entry>) {
        let confirmed_age_ms = self.confirmed_age(now).map_or(u64::MAX, |age| {
            // Rounded up, so that the follower does not underestimate the age.
            u64::try_from(age.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1))
        });
        let State::Leader(leader_state) = &self.state else {
            return;
        };
        let append = MessageKind::Append {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit_index,
            round: leader_state.round,
            echo_ms: leader_state.progress.get(&to).map_or(0, |p| p.echo_ms),
            confirmed_age_ms,
        };
        self.send(to, append);
    }

    pub(super) fn receive_append_reply(
        &mut self,
        now: Duration,
        from: Member,
        accepted: bool,
        index: u64,
        round: u64,
        sent_ms: u64,
    ) {
        let first = self.log.first_index();
        let last = self.log.last_index();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let round_start = leader_state.round_start(round);
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        progress.echo_ms = sent_ms;
        progress.acked_round_start = progress.acked_round_start.max(round_start);
        if accepted {
            progress.acknowledge(index.min(last));
            let in_log = progress.next >= first;
            match progress.mode {
                ReplicationMode::Probe => progress.reset(ReplicationMode::Replicate, progress.next),
                ReplicationMode::Snapshot(_) if in_log => {
                    progress.reset(ReplicationMode::Replicate, progress.next);
                }
                _ => {}
            }
            self.advance_commit(now);
            self.record_caught_up(now, from);
        } else if index < progress.next
            && progress.next > progress.matched + 1
            && !matches!(progress.mode, ReplicationMode::Snapshot(_))
        {
            // The index in the reply may be below the last matching entry, if a term has entries on
            // both sides of that entry. An append directly after it is never rejected, so a
            // rejection that arrives when `next` is already there is outdated.
            progress.reset(ReplicationMode::Probe, index);
            let previous = (progress.next - 1).max(first - 1);
            self.send_append(now, from, previous, Vec::new());
        }
        self.advance_transfer();
    }

    /// Asks the successor of a leadership transfer to start an election once it has the whole log.
    pub(super) fn advance_transfer(&mut self) {
        let last = self.log.last_index();
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        let Some(LeadershipTransfer {
            to,
            timeout_now_sent,
            ..
        }) = &mut leader_state.transfer
        else {
            return;
        };
        let has_whole_log = leader_state
            .progress
            .get(to)
            .is_some_and(|p| p.matched == last);
        if has_whole_log && !*timeout_now_sent {
            *timeout_now_sent = true;
            let to = *to;
            self.send(to, MessageKind::TimeoutNow);
        }
    }
}

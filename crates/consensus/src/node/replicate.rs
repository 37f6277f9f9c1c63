//! Appends and snapshots at the leader.

use super::{Node, State};
use crate::{Entry, Member, MessageKind, Mode, Payload, Transfer};
use std::time::Duration;

/// Bytes counted for an entry besides its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

impl Node {
    /// Starts a heartbeat round: an append without entries to everyone.
    pub(super) fn begin_round(&mut self, now: Duration) {
        let interval = self.settings.timing.heartbeat_interval;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        leadership.begin_round(now);
        leadership.next_heartbeat = now + interval;
        let targets: Vec<_> = leadership
            .progress
            .iter()
            .map(|(m, p)| (*m, p.next))
            .collect();
        for (to, next) in targets {
            let previous = (next - 1).max(self.log.previous().0);
            self.send_append(now, to, previous, Vec::new());
        }
    }

    /// Sends the entries that followers lack, as far as their windows allow.
    pub(super) fn send_appends(&mut self, now: Duration) {
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let targets: Vec<_> = leadership.progress.keys().copied().collect();
        for to in targets {
            while let Some(entries) = self.take_batch(now, to) {
                let previous = entries.first().map_or(0, |e| e.index - 1);
                self.send_append(now, to, previous, entries);
            }
        }
    }

    /// The next entries for a follower in whose window there is room.
    fn take_batch(&mut self, now: Duration, to: Member) -> Option<Vec<Entry>> {
        let timing = self.settings.timing;
        let first = self.log.first_index();
        let State::Leader(leadership) = &mut self.state else {
            return None;
        };
        let round = leadership.round;
        let progress = leadership.progress.get_mut(&to)?;
        let heard = now.saturating_sub(progress.heard_at()) <= timing.election_timeout_max;
        if progress.next < first {
            match progress.mode {
                Mode::Snapshot(since)
                    if now.saturating_sub(since) < timing.snapshot_retry_interval => {}
                _ if !heard => {}
                _ => {
                    progress.restart(Mode::Snapshot(now), progress.matched + 1);
                    // Cloned only here: a snapshot may have many megabytes.
                    let snapshot = self.log.snapshot()?.clone();
                    self.send(to, MessageKind::InstallSnapshot { snapshot, round });
                }
            }
            return None;
        }
        let (appends, in_flight) = progress.window();
        let full = appends >= timing.max_in_flight_appends;
        if progress.mode != Mode::Replicate || full {
            return None;
        }
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.log.entry(progress.next + entries.len() as u64) {
            let size = entry_bytes(entry);
            let fits = bytes + size <= timing.max_append_bytes
                && in_flight + bytes + size <= timing.max_in_flight_bytes;
            if !fits && (in_flight > 0 || !entries.is_empty()) {
                break;
            }
            bytes += size;
            entries.push(entry.clone());
        }
        let last = entries.last()?.index;
        progress.sent(last, bytes);
        Some(entries)
    }

    fn send_append(&mut self, now: Duration, to: Member, prev_index: u64, entries: Vec<Entry>) {
        let confirmed_age_ms = self.confirmed_age(now).map_or(u64::MAX, |age| {
            // Rounded up, so that the follower does not take it for younger than it is.
            u64::try_from(age.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1))
        });
        let State::Leader(leadership) = &self.state else {
            return;
        };
        let append = MessageKind::Append {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit_index,
            round: leadership.round,
            echo_ms: leadership.progress.get(&to).map_or(0, |p| p.echo_ms),
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
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let round_start = leadership.round_start(round);
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.echo_ms = sent_ms;
        progress.acked_at = progress.acked_at.max(round_start);
        if accepted {
            progress.acknowledge(index.min(last));
            let reachable = progress.next >= first;
            match progress.mode {
                Mode::Probe => progress.restart(Mode::Replicate, progress.next),
                Mode::Snapshot(_) if reachable => {
                    progress.restart(Mode::Replicate, progress.next);
                }
                _ => {}
            }
            self.advance_commit(now);
        } else if index < progress.next
            && progress.next > progress.matched + 1
            && !matches!(progress.mode, Mode::Snapshot(_))
        {
            // The hint may lie below what is known to match, if a term has entries on both sides
            // of it. An append directly behind that is never refused: such a reply is old.
            progress.restart(Mode::Probe, index);
            let previous = (progress.next - 1).max(first - 1);
            self.send_append(now, from, previous, Vec::new());
        }
        self.hand_over();
    }

    /// Asks the chosen successor to start an election once it has the whole log.
    pub(super) fn hand_over(&mut self) {
        let last = self.log.last_index();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let Some(Transfer { to, sent, .. }) = &mut leadership.transfer else {
            return;
        };
        let ready = leadership
            .progress
            .get(to)
            .is_some_and(|p| p.matched == last);
        if ready && !*sent {
            *sent = true;
            let to = *to;
            self.send(to, MessageKind::TimeoutNow);
        }
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    let command = match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Noop | Payload::Membership(_) => 0,
    };
    command + ENTRY_OVERHEAD_BYTES
}

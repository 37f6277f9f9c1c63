use super::{EntryEvent, Event, Simulation};
use crate::allowance::AllowanceDesign;
use mangospindle_allowance::{UsageReply, UsageReport};
use mangospindle_fleet::timing::{IDLE_USAGE_INTERVAL, PEER_USAGE_INTERVAL, USAGE_INTERVAL};
use std::time::Duration;

/// Minimum time between two reports of an entry.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a reply after which an entry reports to the next replica.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

const LOCAL_LATENCY: Duration = Duration::from_millis(1);
const REMOTE_LATENCY: Duration = Duration::from_millis(20);

const REGIONS: usize = 3;

impl Simulation<'_> {
    pub(super) fn schedule_first_report(&mut self, entry: usize) {
        let offset = self.random_delay(USAGE_INTERVAL);
        let event = EntryEvent::ReportDue { periodic: true };
        self.schedule_at_entry(offset, entry, event);
    }

    /// Schedules a report ahead of its interval if the limiter asks for one.
    pub(super) fn schedule_early_report(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        if state.has_early_report || state.pending.is_some() || !state.limiter.wants_report() {
            return;
        }
        state.has_early_report = true;
        let due = (state.reported_at + MIN_INTERVAL).max(self.now);
        let event = EntryEvent::ReportDue { periodic: false };
        self.schedule_at_entry(due - self.now, entry, event);
    }

    pub(super) fn send_report(&mut self, entry: usize, periodic: bool) {
        if periodic {
            let event = EntryEvent::ReportDue { periodic };
            self.schedule_at_entry(USAGE_INTERVAL, entry, event);
        }
        let replicas = self.scenario.replicas;
        let state = &mut self.entries[entry];
        state.has_early_report &= periodic;
        match state.pending {
            Some((_, at)) if self.now < at + REPLY_TIMEOUT => return,
            Some(_) => state.replica = (state.replica + 1) % replicas,
            None => {}
        }
        let Some(report) = state.limiter.report(self.now) else {
            return;
        };
        if report.workspaces.is_empty() && self.now < state.reported_at + IDLE_USAGE_INTERVAL {
            return;
        }
        self.sequence += 1;
        let exchange = self.sequence;
        state.reported_at = self.now;
        state.pending = Some((exchange, self.now));
        let replica = state.replica;
        self.count_bytes(report.encode().len());
        if self.is_unreachable {
            return;
        }
        let event = Event::Report {
            replica,
            entry,
            exchange,
            report,
        };
        self.schedule(latency(entry, replica), event);
    }

    pub(super) fn respond(
        &mut self,
        replica: usize,
        entry: usize,
        exchange: u64,
        report: UsageReport,
    ) {
        let live = self.entries.iter().filter(|e| e.is_alive).count() as u32;
        let reply = self.replicas[replica].respond(self.now, &report, live);
        self.count_bytes(reply.encode().len());
        if self.is_unreachable {
            return;
        }
        let event = EntryEvent::Reply {
            exchange,
            report,
            reply,
        };
        self.schedule_at_entry(latency(entry, replica), entry, event);
    }

    pub(super) fn apply_reply(
        &mut self,
        entry: usize,
        exchange: u64,
        report: &UsageReport,
        reply: &UsageReply,
    ) {
        let state = &mut self.entries[entry];
        let is_current = state.pending.is_some_and(|(number, _)| number == exchange);
        if is_current && report.incarnation == state.incarnation {
            state.pending = None;
            state.limiter.apply_reply(self.now, report, reply);
        }
        self.schedule_early_report(entry);
    }

    pub(super) fn send_peer_usage(&mut self, replica: usize) {
        self.schedule(PEER_USAGE_INTERVAL, Event::PeerExchange(replica));
        if self.scenario.design == AllowanceDesign::FixedShares {
            return;
        }
        let usage = self.replicas[replica].peer_usage(self.now);
        let size = usage.encode().len();
        let half = self.scenario.replicas.div_ceil(2);
        for peer in 0..self.scenario.replicas {
            let is_cut = self.is_partitioned && (peer < half) != (replica < half);
            if peer == replica || is_cut {
                continue;
            }
            self.replica_bytes += 2 * size;
            let event = Event::PeerUsage {
                replica: peer,
                usage: usage.clone(),
            };
            self.schedule(latency(replica, peer), event);
        }
    }

    fn count_bytes(&mut self, size: usize) {
        self.entry_bytes += size;
        self.replica_bytes += size;
    }
}

/// One-way latency between two processes, by their numbers.
fn latency(from: usize, to: usize) -> Duration {
    match from % REGIONS == to % REGIONS {
        true => LOCAL_LATENCY,
        false => REMOTE_LATENCY,
    }
}

use std::{collections::VecDeque, time::Duration};

/// How the leader replicates its log to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicationMode {
    /// The matching index is unknown. Only appends without entries are sent: one per heartbeat, and
    /// one after each rejection.
    Probe,
    /// Entries are sent without waiting for acknowledgements of earlier ones.
    Replicate,
    /// A snapshot was sent at the given time.
    Snapshot(Duration),
}

/// The leader's view of the replication to one follower or learner.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: ReplicationMode,
    /// Index of the last entry known to match and to be synced at the follower.
    pub(crate) matched: u64,
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// `sent_ms` of the latest reply.
    pub(crate) echo_ms: u64,
    /// Start of the latest heartbeat round that the follower has acknowledged, on the leader's
    /// clock.
    pub(crate) acked_round_start: Option<Duration>,
    /// Latest time at which the follower was known to have all committed entries and the latest
    /// membership.
    pub(crate) caught_up_at: Option<Duration>,
    /// Time until which the follower counts as unresponsive, because it said that it stops.
    pub(crate) leaving_until: Option<Duration>,
    /// Time at which the leader started to replicate to the follower.
    tracked_since: Duration,
    /// Last index and size in bytes of each unacknowledged append.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Duration) -> Self {
        Self {
            mode: ReplicationMode::Replicate,
            matched: 0,
            next,
            echo_ms: 0,
            acked_round_start: None,
            caught_up_at: None,
            leaving_until: None,
            tracked_since: now,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// Returns the latest time at which the follower is known to have followed this leader. Before
    /// the first reply this is the time at which replication started.
    pub(crate) fn last_contact(&self) -> Duration {
        self.acked_round_start.unwrap_or(self.tracked_since)
    }

    /// Returns the time since the follower is last known to have followed this leader.
    pub(crate) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_contact())
    }

    /// Returns whether the follower has said that it stops.
    pub(crate) fn is_leaving(&self, now: Duration) -> bool {
        self.leaving_until.is_some_and(|until| now < until)
    }

    /// Returns the number of unacknowledged appends and their size in bytes.
    pub(crate) fn window(&self) -> (usize, usize) {
        (self.in_flight.len(), self.in_flight_bytes)
    }

    pub(crate) fn record_sent(&mut self, last: u64, bytes: usize) {
        self.next = last + 1;
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Records that the follower has synced all entries up to `index`.
    pub(crate) fn acknowledge(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        let matched = self.matched;
        while self.in_flight.front().is_some_and(|f| f.0 <= matched) {
            self.in_flight_bytes -= self.in_flight.pop_front().map_or(0, |f| f.1);
        }
    }

    /// Restarts replication at `next` in the given mode.
    pub(crate) fn reset(&mut self, mode: ReplicationMode, next: u64) {
        self.mode = mode;
        self.next = next.max(self.matched + 1);
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}

use std::{collections::VecDeque, time::Duration};

/// How the leader sends to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The follower's log is not known: one append without entries per heartbeat.
    Probe,
    /// Entries are sent ahead of the acknowledgements.
    Replicate,
    /// A snapshot is on its way since the given time.
    Snapshot(Duration),
}

/// What the leader knows about one follower or learner.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) mode: Mode,
    /// Last position that is known to be synced at the follower and to match.
    pub(crate) matched: u64,
    /// Next position to send.
    pub(crate) next: u64,
    /// `sent_ms` of the latest reply.
    pub(crate) echo_ms: u64,
    /// Start of the latest round that the follower answered, on the leader's clock.
    pub(crate) acked_at: Option<Duration>,
    /// When the leader began to send to it.
    since: Duration,
    /// Last position and size of each unacknowledged append.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Duration) -> Self {
        Self {
            mode: Mode::Replicate,
            matched: 0,
            next,
            echo_ms: 0,
            acked_at: None,
            since: now,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
        }
    }

    /// The latest time at which the follower is known to have followed, or the start.
    pub(crate) fn heard_at(&self) -> Duration {
        self.acked_at.unwrap_or(self.since)
    }

    pub(crate) fn window(&self) -> (usize, usize) {
        (self.in_flight.len(), self.in_flight_bytes)
    }

    pub(crate) fn sent(&mut self, last: u64, bytes: usize) {
        self.next = last + 1;
        self.in_flight.push_back((last, bytes));
        self.in_flight_bytes += bytes;
    }

    /// The follower has synced everything up to `index`.
    pub(crate) fn acknowledge(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        let matched = self.matched;
        while self.in_flight.front().is_some_and(|f| f.0 <= matched) {
            self.in_flight_bytes -= self.in_flight.pop_front().map_or(0, |f| f.1);
        }
    }

    /// Starts over at `next` in the given mode.
    pub(crate) fn restart(&mut self, mode: Mode, next: u64) {
        self.mode = mode;
        self.next = next.max(self.matched + 1);
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }
}

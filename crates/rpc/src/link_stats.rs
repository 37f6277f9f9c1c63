use crate::TrafficCounters;
use mangospindle_model::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Traffic of one connection, the proof that it is alive.
pub(crate) struct LinkStats {
    clock: Arc<dyn Clock>,
    counters: TrafficCounters,
    last_read: Cell<Duration>,
    outstanding: Cell<usize>,
    waiting_since: Cell<Duration>,
}

/// A call that waits for its answer.
pub(crate) struct CallGuard(Rc<LinkStats>);

impl LinkStats {
    pub(crate) fn new(clock: Arc<dyn Clock>, counters: TrafficCounters) -> Rc<Self> {
        let now = clock.now();
        Rc::new(LinkStats {
            clock,
            counters,
            last_read: Cell::new(now),
            outstanding: Cell::new(0),
            waiting_since: Cell::new(now),
        })
    }

    /// Counts a call until the guard is dropped.
    pub(crate) fn begin_call(self: &Rc<Self>) -> CallGuard {
        if self.outstanding.get() == 0 {
            self.waiting_since.set(self.clock.now());
        }
        self.outstanding.set(self.outstanding.get() + 1);
        CallGuard(Rc::clone(self))
    }

    /// Calls that wait for their answers.
    pub(crate) fn outstanding(&self) -> usize {
        self.outstanding.get()
    }

    /// Time since the last byte arrived.
    pub(crate) fn idle(&self) -> Duration {
        self.clock.now().saturating_sub(self.last_read.get())
    }

    /// How long an answer has been due without any byte arriving.
    pub(crate) fn silence(&self) -> Duration {
        match self.outstanding.get() {
            0 => Duration::ZERO,
            _ => {
                let since = self.last_read.get().max(self.waiting_since.get());
                self.clock.now().saturating_sub(since)
            }
        }
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        self.last_read.set(self.clock.now());
        self.counters.add_bytes_received(bytes);
    }

    pub(crate) fn record_write(&self, bytes: usize) {
        self.counters.add_bytes_sent(bytes);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.outstanding.set(self.0.outstanding.get() - 1);
    }
}

use crate::TrafficCounters;
use mangospindle_model::Clock;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Read times and outstanding calls of one connection, from which its liveness is judged.
pub(crate) struct ConnectionStats {
    clock: Arc<dyn Clock>,
    counters: TrafficCounters,
    last_read_at: Cell<Duration>,
    outstanding: Cell<usize>,
    outstanding_since: Cell<Duration>,
}

/// Counts a call as outstanding until it is dropped.
pub(crate) struct CallGuard(Rc<ConnectionStats>);

impl ConnectionStats {
    pub(crate) fn new(clock: Arc<dyn Clock>, counters: TrafficCounters) -> Rc<Self> {
        let now = clock.now();
        Rc::new(ConnectionStats {
            clock,
            counters,
            last_read_at: Cell::new(now),
            outstanding: Cell::new(0),
            outstanding_since: Cell::new(now),
        })
    }

    /// Counts a call as outstanding until the guard is dropped.
    pub(crate) fn begin_call(self: &Rc<Self>) -> CallGuard {
        if self.outstanding.get() == 0 {
            self.outstanding_since.set(self.clock.now());
        }
        self.outstanding.set(self.outstanding.get() + 1);
        CallGuard(Rc::clone(self))
    }

    /// Number of calls without a response.
    pub(crate) fn outstanding(&self) -> usize {
        self.outstanding.get()
    }

    /// Time since the last byte arrived.
    pub(crate) fn idle_time(&self) -> Duration {
        self.clock.now().saturating_sub(self.last_read_at.get())
    }

    /// Time for which a response has been outstanding and no byte has arrived.
    pub(crate) fn silent_time(&self) -> Duration {
        match self.outstanding.get() {
            0 => Duration::ZERO,
            _ => {
                let since = self.last_read_at.get().max(self.outstanding_since.get());
                self.clock.now().saturating_sub(since)
            }
        }
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        self.last_read_at.set(self.clock.now());
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

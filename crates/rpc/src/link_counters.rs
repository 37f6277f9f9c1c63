use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of a group of connections, for metrics.
#[derive(Clone, Debug, Default)]
pub struct LinkCounters {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl LinkCounters {
    /// Bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

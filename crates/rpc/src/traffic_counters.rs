use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes sent and received over a group of connections, for metrics. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounters {
    bytes_sent: Arc<AtomicU64>,
    bytes_received: Arc<AtomicU64>,
}

impl TrafficCounters {
    /// Total number of bytes sent.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Total number of bytes received.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received.load(Ordering::Relaxed)
    }

    pub(crate) fn add_bytes_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_bytes_received(&self, bytes: usize) {
        self.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

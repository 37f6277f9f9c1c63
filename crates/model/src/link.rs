use crate::RegionId;
use serde::{Deserialize, Serialize};

/// A directed link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Sending region.
    pub from: RegionId,
    /// Receiving region.
    pub to: RegionId,
    /// Capacity for all traffic, in bits per second.
    pub bits_per_second: u64,
    /// One-way latency in microseconds.
    pub latency_us: u32,
}

use serde::{Deserialize, Serialize};

/// How much each goal counts when several safe choices exist. Only the ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of expected latency.
    pub latency: f64,
    /// Weight of free capacity.
    pub headroom: f64,
    /// Weight of keeping work away from VMs that are about to drain.
    pub drain: f64,
}

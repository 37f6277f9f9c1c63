use serde::{Deserialize, Serialize};

/// A region: a group of failure domains with short latencies between them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// Unique name.
    pub name: String,
    /// Most requests in progress at the region's endpoints, all services together.
    pub max_in_progress: u32,
}

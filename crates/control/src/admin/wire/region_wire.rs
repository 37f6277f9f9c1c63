use mangospindle_model::Region;
use serde::{Deserialize, Serialize};

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionWire {
    /// Name of the region.
    pub name: String,
    /// Maximum number of requests in progress. In quotes, it is the entity tag of the limit.
    pub max_in_progress: u32,
}

impl From<&Region> for RegionWire {
    fn from(region: &Region) -> Self {
        RegionWire {
            name: region.name.clone(),
            max_in_progress: region.max_in_progress,
        }
    }
}

/// Request to change the limit of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetRegionLimitWire {
    /// New maximum number of requests in progress.
    pub max_in_progress: u32,
}

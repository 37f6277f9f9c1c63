use mangospindle_model::Region;
use serde::{Deserialize, Serialize};

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionWire {
    /// Name.
    pub name: String,
    /// Most requests in progress; in quotes, the entity tag of the limit.
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
    /// The new limit.
    pub max_in_progress: u32,
}

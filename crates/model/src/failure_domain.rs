use crate::RegionId;
use serde::{Deserialize, Serialize};

/// A failure domain: VMs that can fail or be cut off together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureDomain {
    /// Unique name.
    pub name: String,
    /// The region the failure domain is part of.
    pub region: RegionId,
}

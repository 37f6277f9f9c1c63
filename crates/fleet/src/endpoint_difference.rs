use crate::EndpointRecord;
use serde::{Deserialize, Serialize};

/// What has changed between two versions of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointDifference {
    /// Digest of the version to which the difference applies.
    pub base: u64,
    /// Added and changed endpoints, current as of sending.
    pub changed: Vec<EndpointRecord>,
    /// Instances that are no longer listed.
    pub removed: Vec<String>,
}

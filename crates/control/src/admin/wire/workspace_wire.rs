use mangospindle_allowance::WorkspaceUsage;
use mangospindle_model::{Allowance, KeyDigest, Workspace};
use serde::{Deserialize, Serialize};

/// A workspace with its usage. Keys are shown as shortened digests only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceWire {
    /// Name of the workspace.
    pub name: String,
    /// Rank of its requests; 0 is the highest.
    pub priority: u32,
    /// Regions that may serve its requests; all of them if empty.
    pub home_regions: Vec<String>,
    /// First 16 hexadecimal digits of the SHA-256 digest of each key.
    pub key_digests: Vec<String>,
    /// Its allowance; absent if there is no limit.
    pub allowance: Option<AllowanceWire>,
    /// Its usage; absent without an allowance, or while the answering replica has not applied it yet.
    pub usage: Option<WorkspaceUsageWire>,
}

impl WorkspaceWire {
    /// Converts a workspace of a configuration.
    pub fn new(name: &str, workspace: &Workspace, usage: Option<&WorkspaceUsage>) -> Self {
        WorkspaceWire {
            name: name.to_string(),
            priority: workspace.priority,
            home_regions: workspace.home_regions.clone(),
            key_digests: workspace.keys.iter().map(KeyDigest::to_string).collect(),
            allowance: workspace.allowance.as_ref().map(AllowanceWire::from),
            usage: usage.map(WorkspaceUsageWire::from),
        }
    }
}

/// The allowance of a workspace, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllowanceWire {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

impl From<&Allowance> for AllowanceWire {
    fn from(allowance: &Allowance) -> Self {
        AllowanceWire {
            rate: allowance.rate,
            burst: allowance.burst,
        }
    }
}

/// The usage of an allowance, as the answering replica knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUsageWire {
    /// Requests per second that callers of all entries lately asked for.
    pub offered_rate: f64,
    /// Level of the token bucket, in requests; absent while the replica does not know it.
    pub level: Option<f64>,
    /// Requests that were rejected as over the allowance at entries that report to the answering
    /// replica, since its start.
    pub rejected_over_allowance: u64,
}

impl From<&WorkspaceUsage> for WorkspaceUsageWire {
    fn from(usage: &WorkspaceUsage) -> Self {
        WorkspaceUsageWire {
            offered_rate: usage.offered_rate,
            level: usage.level,
            rejected_over_allowance: usage.rejected,
        }
    }
}

use crate::{PeerUsage, UsageReply, UsageReport};
use mangospindle_model::{Allowance, WorkspaceTable};
use std::time::Duration;

/// Usage of a workspace, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceUsage {
    /// Name of the workspace.
    pub workspace: String,
    /// Its allowance, if it has one.
    pub allowance: Option<Allowance>,
    /// Requests per second that callers of all entries lately asked for.
    pub offered_rate: f64,
    /// Level of its token bucket, in requests; `None` if it is not known.
    pub level: Option<f64>,
    /// Requests that entries which report to this replica rejected since its start.
    pub rejected: u64,
}

/// Sums up the usage of all workspaces at a control replica.
#[derive(Debug)]
pub struct UsageTable {
    replica: u64,
    incarnation: u64,
}

impl UsageTable {
    /// Creates an empty table for a replica. `incarnation` is drawn at the start of its process.
    pub fn new(replica: u64, incarnation: u64) -> Self {
        UsageTable {
            replica,
            incarnation,
        }
    }

    /// Applies the allowances of a configuration.
    pub fn set_limits(&mut self, _now: Duration, _table: &WorkspaceTable) {}

    /// Whether any workspace has an allowance.
    pub fn has_limits(&self) -> bool {
        false
    }

    /// Records the report of an entry and returns the reply. `entries` is the number of live entries.
    pub fn respond(&mut self, _now: Duration, _report: &UsageReport, entries: u32) -> UsageReply {
        UsageReply {
            entries,
            workspaces: Vec::new(),
        }
    }

    /// What to tell the other replicas now.
    pub fn peer_usage(&self, _now: Duration) -> PeerUsage {
        PeerUsage {
            replica: self.replica,
            incarnation: self.incarnation,
            workspaces: Vec::new(),
        }
    }

    /// Records what another replica tells.
    pub fn record_peer(&mut self, _now: Duration, _usage: &PeerUsage) {}

    /// Usage of all workspaces.
    pub fn status(&self, _now: Duration) -> Vec<WorkspaceUsage> {
        Vec::new()
    }
}

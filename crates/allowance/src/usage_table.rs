use crate::workspace_state::WorkspaceState;
use crate::{PeerUsage, PeerWorkspace, UsageReply, UsageReport, UsageSummary, WorkspaceTotal};
use mangospindle_model::{Allowance, WorkspaceTable};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the start within which totals are only known once another replica was heard.
const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Maximum number of short workspaces in a reply, besides those that were reported.
pub(crate) const MAX_SHORT_IN_REPLY: usize = 100;

/// Interval at which the short workspaces are determined again.
const SHORT_INTERVAL: Duration = Duration::from_millis(100);

/// Usage of a workspace, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceUsage {
    /// Name of the workspace.
    pub workspace: String,
    /// Its allowance.
    pub allowance: Allowance,
    /// Requests per second that callers of all entries lately asked for.
    pub offered_rate: f64,
    /// Level of its token bucket, in requests; `None` if it is not known.
    pub level: Option<f64>,
    /// Requests that entries which report to this replica rejected since its start.
    pub rejected: u64,
}

/// Another replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: u64,
    pub(crate) heard_at: Duration,
}

/// Sums up the usage of all workspaces with an allowance at a control replica.
#[derive(Debug)]
pub struct UsageTable {
    replica: u64,
    incarnation: u64,
    started_at: Option<Duration>,
    peers: BTreeMap<u64, Peer>,
    workspaces: BTreeMap<String, WorkspaceState>,
    /// Names of the short workspaces, and when they were determined.
    short: (Duration, Vec<String>),
    /// Requests that entries rejected, also those of workspaces that were removed since.
    rejected: u64,
}

impl UsageTable {
    /// Creates an empty table for a replica. `incarnation` is drawn at the start of its process.
    pub fn new(replica: u64, incarnation: u64) -> Self {
        UsageTable {
            replica,
            incarnation,
            started_at: None,
            peers: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            short: (Duration::ZERO, Vec::new()),
            rejected: 0,
        }
    }

    /// Applies the allowances of a configuration.
    pub fn set_limits(&mut self, now: Duration, table: &WorkspaceTable) {
        self.started_at.get_or_insert(now);
        let limit_of = |name: &String| table.workspaces.get(name)?.allowance;
        self.workspaces.retain(|name, _| limit_of(name).is_some());
        for (name, workspace) in &table.workspaces {
            let Some(limit) = workspace.allowance else {
                continue;
            };
            match self.workspaces.get_mut(name) {
                Some(state) => state.set_limit(now, limit),
                None => {
                    let state = WorkspaceState::new(now, limit);
                    self.workspaces.insert(name.clone(), state);
                }
            }
        }
    }

    /// Whether any workspace has an allowance.
    pub fn has_limits(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Records the report of an entry and returns the reply. `entries` is the number of live entries.
    pub fn respond(&mut self, now: Duration, report: &UsageReport, entries: u32) -> UsageReply {
        for usage in &report.workspaces {
            if let Some(state) = self.workspaces.get_mut(&usage.workspace) {
                let counted = state.rejected();
                state.record_entry(now, &report.entry, report.incarnation, usage);
                let rejected = state.rejected().saturating_sub(counted);
                self.rejected = self.rejected.saturating_add(rejected);
            }
        }
        self.update_short(now);
        let reported = report.workspaces.iter().map(|usage| &usage.workspace);
        let is_reported = |name: &&String| report.workspaces.iter().any(|u| u.workspace == **name);
        let (_, short) = &self.short;
        let short = short.iter().filter(|name| !is_reported(name));
        let names = reported.chain(short.take(MAX_SHORT_IN_REPLY));
        UsageReply {
            entries,
            is_complete: self.knows_totals(now) && self.short.1.len() <= MAX_SHORT_IN_REPLY,
            workspaces: names.filter_map(|name| self.total(now, name)).collect(),
        }
    }

    /// What to tell the other replicas now.
    pub fn peer_usage(&self, now: Duration) -> PeerUsage {
        let in_use = self.workspaces.iter().filter(|(_, w)| w.is_in_use(now));
        let workspaces = in_use.map(|(name, state)| PeerWorkspace {
            workspace: name.clone(),
            admitted: state.admitted(),
            offered_rate: state.own_offered_rate(now) as f32,
        });
        PeerUsage {
            replica: self.replica,
            incarnation: self.incarnation,
            workspaces: workspaces.collect(),
        }
    }

    /// Records what another replica tells.
    pub fn record_peer(&mut self, now: Duration, usage: &PeerUsage) {
        let peer = Peer {
            incarnation: usage.incarnation,
            heard_at: now,
        };
        let known = self.peers.insert(usage.replica, peer);
        let known = known.filter(|k| k.incarnation == usage.incarnation);
        let heard_at = known.map(|k| k.heard_at);
        for row in &usage.workspaces {
            if let Some(state) = self.workspaces.get_mut(&row.workspace) {
                state.record_peer(now, usage.replica, heard_at, row);
            }
        }
    }

    /// Usage of all workspaces with an allowance.
    pub fn status(&self, now: Duration) -> Vec<WorkspaceUsage> {
        let workspaces = self.workspaces.iter();
        workspaces
            .map(|(name, state)| WorkspaceUsage {
                workspace: name.clone(),
                allowance: state.limit(),
                offered_rate: state.offered_rate(now, &self.peers),
                level: self.knows_totals(now).then(|| state.level(now)),
                rejected: state.rejected(),
            })
            .collect()
    }

    /// Sums over all workspaces with an allowance.
    pub fn summary(&self, now: Duration) -> UsageSummary {
        let workspaces = self.workspaces.values();
        let short = workspaces.filter(|w| w.is_short(now, &self.peers));
        UsageSummary {
            allowances: self.workspaces.len(),
            short: short.count(),
            rejected: self.rejected,
        }
    }

    /// Whether the totals include what other replicas know. A replica that has just started knows nothing.
    fn knows_totals(&self, now: Duration) -> bool {
        let learned = |started_at| now >= started_at + LEARNING_TIME;
        !self.peers.is_empty() || self.started_at.is_some_and(learned)
    }

    fn total(&self, now: Duration, name: &str) -> Option<WorkspaceTotal> {
        let state = self.workspaces.get(name)?;
        Some(WorkspaceTotal {
            workspace: name.to_string(),
            offered_rate: state.offered_rate(now, &self.peers) as f32,
            level: self.knows_totals(now).then(|| state.level(now) as f32),
        })
    }

    /// Brings the refill of all workspaces and the list of the short ones up to date.
    fn update_short(&mut self, now: Duration) {
        if now < self.short.0 + SHORT_INTERVAL {
            return;
        }
        for state in self.workspaces.values_mut() {
            state.update_refill(now, &self.peers);
        }
        let workspaces = self.workspaces.iter();
        let short = workspaces.filter(|(_, w)| w.is_short(now, &self.peers));
        self.short = (now, short.map(|(name, _)| name.clone()).collect());
    }
}

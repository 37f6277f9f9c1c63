use crate::local_allowance::LocalAllowance;
use crate::{EntryUsage, UsageReply, UsageReport};
use mangospindle_model::WorkspaceTable;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of workspaces in a report, to bound its size. The others follow in the next one.
const MAX_REPORTED: usize = 500;

/// Number of different phases at which entries collect tokens.
const PHASES: u64 = 1024;

/// Admits the requests of an entry within its share of each allowance.
#[derive(Debug)]
pub struct AllowanceLimiter {
    entry: String,
    incarnation: u64,
    /// Number of live entries in the deployment, from the last reply.
    entries: Option<u32>,
    /// State of each workspace with an allowance, by name.
    workspaces: BTreeMap<String, LocalAllowance>,
    /// Time of the last reply that contained all short workspaces.
    listed_at: Option<Duration>,
    /// Name of the last workspace in a report that had no room for all of them; empty otherwise.
    last_reported: String,
    /// Whether a request was decided on a share that may be out of date.
    wants_report: bool,
}

impl AllowanceLimiter {
    /// Creates a limiter without limits for an entry. `incarnation` is drawn at the start of its process.
    pub fn new(entry: String, incarnation: u64) -> Self {
        AllowanceLimiter {
            entry,
            incarnation,
            entries: None,
            workspaces: BTreeMap::new(),
            listed_at: None,
            last_reported: String::new(),
            wants_report: false,
        }
    }

    /// Applies the allowances of a configuration.
    pub fn set_limits(&mut self, now: Duration, table: &WorkspaceTable) {
        let phase = (self.incarnation % PHASES) as f64 / PHASES as f64;
        let limit_of = |name: &String| table.workspaces.get(name)?.allowance;
        self.workspaces.retain(|name, _| limit_of(name).is_some());
        for (name, workspace) in &table.workspaces {
            let Some(limit) = workspace.allowance else {
                continue;
            };
            match self.workspaces.get_mut(name) {
                Some(local) => local.set_limit(now, limit),
                None => {
                    let local = LocalAllowance::new(now, limit, phase);
                    self.workspaces.insert(name.clone(), local);
                }
            }
        }
    }

    /// Whether any workspace has an allowance.
    pub fn has_limits(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Admits a request of a workspace, or returns after which time it can be admitted.
    ///
    /// # Errors
    ///
    /// Returns the `Retry-After` if the workspace has used up its allowance.
    pub fn admit(&mut self, now: Duration, workspace: &str) -> Result<(), Duration> {
        let Some(local) = self.workspaces.get_mut(workspace) else {
            return Ok(());
        };
        if let Some(listed_at) = self.listed_at {
            local.apply_omission(listed_at);
        }
        let result = local.admit(now, self.entries);
        self.wants_report |= local.share_may_be_outdated();
        result
    }

    /// Gives back an admitted request that has not run.
    pub fn refund(&mut self, now: Duration, workspace: &str) {
        if let Some(local) = self.workspaces.get_mut(workspace) {
            local.refund(now);
        }
    }

    /// Whether a report should be sent now, ahead of its interval.
    pub fn wants_report(&self) -> bool {
        self.wants_report
    }

    /// The report to send now: the workspaces with requests that no replica has acknowledged. If there are
    /// too many for one report, those after the last one of the acknowledged report come first.
    pub fn report(&self, now: Duration) -> UsageReport {
        let last = &self.last_reported;
        let following = self.workspaces.iter().filter(|(name, _)| *name > last);
        let others = self.workspaces.iter().filter(|(name, _)| *name <= last);
        let unreported = following.chain(others).filter(|(_, w)| w.is_unreported());
        let workspaces = unreported.map(|(name, local)| EntryUsage {
            workspace: name.clone(),
            ..local.usage(now)
        });
        UsageReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            workspaces: workspaces.take(MAX_REPORTED).collect(),
        }
    }

    /// Applies the reply to a report.
    pub fn apply_reply(&mut self, now: Duration, report: &UsageReport, reply: &UsageReply) {
        self.wants_report = false;
        self.entries = Some(reply.entries.max(1));
        self.last_reported = match report.workspaces.last() {
            Some(usage) if report.workspaces.len() >= MAX_REPORTED => usage.workspace.clone(),
            _ => String::new(),
        };
        let mut reported_rates = BTreeMap::new();
        for usage in &report.workspaces {
            reported_rates.insert(usage.workspace.as_str(), f64::from(usage.offered_rate));
            if let Some(local) = self.workspaces.get_mut(&usage.workspace) {
                local.acknowledge(usage);
            }
        }
        if reply.is_complete {
            self.listed_at = Some(now);
        }
        for total in &reply.workspaces {
            if let Some(local) = self.workspaces.get_mut(&total.workspace) {
                let reported = reported_rates.get(total.workspace.as_str()).copied();
                local.apply_total(now, reported, total, reply.entries.max(1));
            }
        }
    }
}

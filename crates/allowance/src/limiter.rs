use crate::{UsageReply, UsageReport};
use mangospindle_model::WorkspaceTable;
use std::time::Duration;

/// Admits the requests of an entry within its share of each allowance.
#[derive(Debug)]
pub struct AllowanceLimiter {
    entry: String,
    incarnation: u64,
}

impl AllowanceLimiter {
    /// Creates a limiter without limits for an entry.
    pub fn new(entry: String, incarnation: u64) -> Self {
        AllowanceLimiter { entry, incarnation }
    }

    /// Applies the allowances of a configuration.
    pub fn set_limits(&mut self, _now: Duration, _table: &WorkspaceTable) {}

    /// Whether any workspace has an allowance.
    pub fn has_limits(&self) -> bool {
        false
    }

    /// Admits a request of a workspace, or returns after which time it can be admitted.
    ///
    /// # Errors
    ///
    /// Returns the `Retry-After` if the workspace has used up its allowance.
    pub fn admit(&mut self, _now: Duration, _workspace: &str) -> Result<(), Duration> {
        Ok(())
    }

    /// Gives back an admitted request that has not run.
    pub fn refund(&mut self, _now: Duration, _workspace: &str) {}

    /// Whether a report should be sent now, ahead of its interval.
    pub fn wants_report(&self, _now: Duration) -> bool {
        false
    }

    /// The report to send now. It stays the same until a reply is applied or requests arrive.
    pub fn report(&self, _now: Duration) -> UsageReport {
        UsageReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            workspaces: Vec::new(),
        }
    }

    /// Applies the reply to a report.
    pub fn apply_reply(&mut self, _now: Duration, _report: &UsageReport, _reply: &UsageReply) {}
}

use super::AllowanceDesign;
use mangospindle_allowance::{AllowanceLimiter, EntryUsage, UsageReply, UsageReport};
use mangospindle_model::{Allowance, WorkspaceTable};
use std::collections::BTreeMap;
use std::time::Duration;

/// What an entry of a design without replicas tells a rejected caller.
const BASELINE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Limiter of an emulated entry.
pub(super) enum Limiter {
    FixedShares(FixedShares),
    FollowingShares(AllowanceLimiter),
    RepliesOnly(RepliesOnly),
}

/// Token buckets with an equal part of each allowance.
#[derive(Default)]
pub(super) struct FixedShares {
    entries: f64,
    /// Allowance, tokens and when these were counted.
    buckets: BTreeMap<String, (Allowance, f64, Duration)>,
}

/// Requests that may be admitted until the next reply.
#[derive(Default)]
pub(super) struct RepliesOnly {
    entry: String,
    incarnation: u64,
    counts: BTreeMap<String, Count>,
    wants_report: bool,
}

struct Count {
    allowance: Allowance,
    admitted: i64,
    acknowledged: i64,
    remaining: f64,
}

impl Limiter {
    pub(super) fn new(
        design: AllowanceDesign,
        entries: usize,
        entry: String,
        incarnation: u64,
    ) -> Self {
        match design {
            AllowanceDesign::FixedShares => Limiter::FixedShares(FixedShares {
                entries: entries as f64,
                buckets: BTreeMap::new(),
            }),
            AllowanceDesign::FollowingShares => {
                Limiter::FollowingShares(AllowanceLimiter::new(entry, incarnation))
            }
            AllowanceDesign::RepliesOnly => Limiter::RepliesOnly(RepliesOnly {
                entry,
                incarnation,
                ..RepliesOnly::default()
            }),
        }
    }

    pub(super) fn set_limits(&mut self, now: Duration, table: &WorkspaceTable) {
        let limits = table.workspaces.iter();
        let limits = limits.filter_map(|(name, w)| Some((name.clone(), w.allowance?)));
        match self {
            Limiter::FollowingShares(limiter) => limiter.set_limits(now, table),
            Limiter::FixedShares(fixed) => {
                for (name, allowance) in limits {
                    let tokens = (allowance.burst / fixed.entries).max(1.0);
                    let bucket = fixed
                        .buckets
                        .entry(name)
                        .or_insert((allowance, tokens, now));
                    bucket.0 = allowance;
                }
            }
            Limiter::RepliesOnly(replies) => {
                for (name, allowance) in limits {
                    let count = replies.counts.entry(name).or_insert(Count {
                        allowance,
                        admitted: 0,
                        acknowledged: 0,
                        remaining: 1.0,
                    });
                    count.allowance = allowance;
                }
            }
        }
    }

    pub(super) fn admit(&mut self, now: Duration, workspace: &str) -> Result<(), Duration> {
        match self {
            Limiter::FollowingShares(limiter) => limiter.admit(now, workspace),
            Limiter::FixedShares(fixed) => fixed.admit(now, workspace),
            Limiter::RepliesOnly(replies) => replies.admit(workspace),
        }
    }

    pub(super) fn refund(&mut self, now: Duration, workspace: &str) {
        match self {
            Limiter::FollowingShares(limiter) => limiter.refund(now, workspace),
            Limiter::FixedShares(fixed) => {
                if let Some((_, tokens, _)) = fixed.buckets.get_mut(workspace) {
                    *tokens += 1.0;
                }
            }
            Limiter::RepliesOnly(replies) => {
                if let Some(count) = replies.counts.get_mut(workspace) {
                    count.admitted -= 1;
                    count.remaining += 1.0;
                }
            }
        }
    }

    pub(super) fn wants_report(&self) -> bool {
        match self {
            Limiter::FollowingShares(limiter) => limiter.wants_report(),
            Limiter::FixedShares(_) => false,
            Limiter::RepliesOnly(replies) => replies.wants_report,
        }
    }

    /// The report to send; `None` in a design without messages.
    pub(super) fn report(&self, now: Duration) -> Option<UsageReport> {
        match self {
            Limiter::FollowingShares(limiter) => Some(limiter.report(now)),
            Limiter::FixedShares(_) => None,
            Limiter::RepliesOnly(replies) => Some(replies.report()),
        }
    }

    pub(super) fn apply_reply(&mut self, now: Duration, report: &UsageReport, reply: &UsageReply) {
        match self {
            Limiter::FollowingShares(limiter) => limiter.apply_reply(now, report, reply),
            Limiter::FixedShares(_) => {}
            Limiter::RepliesOnly(replies) => replies.apply_reply(report, reply),
        }
    }
}

impl FixedShares {
    fn admit(&mut self, now: Duration, workspace: &str) -> Result<(), Duration> {
        let Some((allowance, tokens, at)) = self.buckets.get_mut(workspace) else {
            return Ok(());
        };
        let refill = (now - *at).as_secs_f64() * allowance.rate / self.entries;
        *tokens = (*tokens + refill).min((allowance.burst / self.entries).max(1.0));
        *at = now;
        match *tokens >= 1.0 {
            true => *tokens -= 1.0,
            false => return Err(BASELINE_RETRY_AFTER),
        }
        Ok(())
    }
}

impl RepliesOnly {
    fn admit(&mut self, workspace: &str) -> Result<(), Duration> {
        let Some(count) = self.counts.get_mut(workspace) else {
            return Ok(());
        };
        // Asks for the next bound when this one is used up.
        self.wants_report |= count.remaining < 2.0;
        match count.remaining >= 1.0 {
            true => count.remaining -= 1.0,
            false => return Err(BASELINE_RETRY_AFTER),
        }
        count.admitted += 1;
        Ok(())
    }

    fn report(&self) -> UsageReport {
        let counts = self.counts.iter();
        let unreported = counts.filter(|(_, c)| c.admitted != c.acknowledged || c.remaining < 1.0);
        let usage = unreported.map(|(name, c)| EntryUsage {
            workspace: name.clone(),
            admitted: c.admitted,
            acknowledged: c.acknowledged,
            rejected: 0,
            // The table forgets entries without demand; the value decides nothing in this design.
            offered_rate: 1.0,
        });
        UsageReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            workspaces: usage.collect(),
        }
    }

    fn apply_reply(&mut self, report: &UsageReport, reply: &UsageReply) {
        self.wants_report = false;
        for usage in &report.workspaces {
            if let Some(count) = self.counts.get_mut(&usage.workspace) {
                count.acknowledged = usage.admitted;
            }
        }
        for total in &reply.workspaces {
            if let (Some(count), Some(level)) = (self.counts.get_mut(&total.workspace), total.level)
            {
                let bound = (count.allowance.burst / (2.0 * f64::from(reply.entries))).max(1.0);
                let unseen = (count.admitted - count.acknowledged) as f64;
                count.remaining = match level >= 1.0 {
                    true => (bound - unseen).max(0.0),
                    false => 0.0,
                };
            }
        }
    }
}

use super::{Allowance, KeyDigest, WorkspaceFault};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A customer of the deployment, whose requests carry one of its keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Digests of its keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Rank of its requests; 0 is the highest.
    pub priority: u32,
    /// Requests that it may send; `None` if there is no limit.
    pub allowance: Option<Allowance>,
    /// Regions that may serve its requests; all of them if empty.
    pub home_regions: Vec<String>,
}

impl Workspace {
    pub(super) fn validate(&self, name: &str) -> Result<(), WorkspaceFault> {
        // The name is sent to endpoints as the value of a header.
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(WorkspaceFault::InvalidName);
        }
        let is_valid = |a: &Allowance| {
            a.rate.is_finite() && a.rate > 0.0 && a.burst.is_finite() && a.burst >= 0.0
        };
        match &self.allowance {
            Some(allowance) if !is_valid(allowance) => Err(WorkspaceFault::InvalidAllowance),
            _ => Ok(()),
        }
    }
}

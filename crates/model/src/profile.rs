use crate::{RequestClass, Weights};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When a second attempt of a slow read is started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case", deny_unknown_fields)]
pub enum Hedging {
    /// Never.
    Off,
    /// When no answer has started after `delay`, within the retry budget.
    After {
        /// Time from the first attempt to the second.
        delay: Duration,
    },
}

/// A named steering profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Profile {
    /// Unique name.
    pub name: String,
    /// What counts when several safe choices exist.
    pub weights: Weights,
    /// Cross-region limit for each ordered pair of home region and serving region, in requests
    /// per second, for each service that runs under the profile.
    pub cross_region_limit: u32,
    /// Fraction of the cross-region limit at which new cross-region traffic starts.
    pub pace_start: f64,
    /// Factor by which the allowed cross-region rate grows per second of good answers.
    pub pace_growth: f64,
    /// Retries and hedges allowed per first attempt, as a fraction.
    pub retry_budget: f64,
    /// Hedging of reads.
    pub hedging: Hedging,
    /// Longest wait of a request for a free slot at its owner.
    pub queue_timeout: Duration,
    /// Order in which classes are refused under pressure, first to last.
    pub shed_order: Vec<RequestClass>,
}

use crate::{ProfileError, RequestClass, Weights};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest name of a profile, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Longest wait for a free slot that a profile can set. Callers time out before that.
const MAX_QUEUE_TIMEOUT: Duration = Duration::from_secs(60);

/// When a second attempt of a slow read is started.
///
/// Not tagged internally: the encoding of commands and configurations between processes does not
/// describe itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
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

impl Profile {
    /// Checks the name and the ranges of all numbers.
    pub fn validate(&self) -> Result<(), ProfileError> {
        let name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let name_len = 1..=MAX_NAME_BYTES;
        let weights = [
            self.weights.latency,
            self.weights.headroom,
            self.weights.drain,
        ];
        let weights_ok =
            weights.iter().all(|w| w.is_finite() && *w >= 0.0) && weights.iter().any(|w| *w > 0.0);
        let mut classes = self.shed_order.clone();
        classes.sort();
        match self {
            p if !name_len.contains(&p.name.len()) || !p.name.chars().all(name_char) => {
                Err(ProfileError::Name(p.name.clone()))
            }
            _ if !weights_ok => Err(ProfileError::Weights),
            p if !(p.pace_start > 0.0 && p.pace_start <= 1.0) => Err(ProfileError::PaceStart),
            p if !(p.pace_growth > 1.0 && p.pace_growth <= 10.0) => Err(ProfileError::PaceGrowth),
            p if !(0.0..=1.0).contains(&p.retry_budget) => Err(ProfileError::RetryBudget),
            p if matches!(p.hedging, Hedging::After { delay } if delay.is_zero()) => {
                Err(ProfileError::Hedging)
            }
            p if p.queue_timeout > MAX_QUEUE_TIMEOUT => Err(ProfileError::QueueTimeout),
            _ if classes != RequestClass::ALL => Err(ProfileError::ShedOrder),
            _ => Ok(()),
        }
    }
}

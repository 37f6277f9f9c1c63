use crate::region_shares::RegionShares;
use crate::work_times::WorkTimes;
use crate::{DispatchSettings, EndpointKey};
use mangospindle_routing::RetryBudget;

/// Part of the budget for second sends that is used. The rest covers entries that restart with a
/// full budget.
const BUDGET_PART: f64 = 0.5;

/// What an entry knows about a service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<EndpointKey>,
    pub(crate) shares: RegionShares,
    pub(crate) times: WorkTimes,
    pub(crate) budget: RetryBudget,
    /// Highest rank of the routes to the service; 0 is the highest there is.
    pub(crate) top_priority: u32,
}

impl Service {
    /// `entries` is the assumed number of entries that share the budget.
    pub(crate) fn new(settings: &DispatchSettings, entries: u32) -> Self {
        let slack = BUDGET_PART * settings.retry_slack / f64::from(entries.max(1));
        Service {
            endpoints: Vec::new(),
            shares: RegionShares::default(),
            times: WorkTimes::default(),
            budget: RetryBudget::with_capacity(slack),
            top_priority: 0,
        }
    }

    /// Adds the part of the budget that a first send earns.
    pub(crate) fn earn(&mut self, settings: &DispatchSettings) {
        self.budget.deposit(BUDGET_PART * settings.retry_ratio);
    }
}

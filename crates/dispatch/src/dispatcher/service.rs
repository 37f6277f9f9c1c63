use super::region_endpoints::RegionEndpoints;
use crate::region_load::RegionLoadEstimate;
use crate::region_shares::RegionShares;
use crate::service_time_estimate::ServiceTimeEstimate;
use crate::{DispatchSettings, EndpointKey};
use mangospindle_routing::RetryBudget;
use std::collections::BTreeMap;

/// Fraction of the configured retry budget that is used. The rest covers entries that restart with
/// a full budget.
const BUDGET_FRACTION: f64 = 0.5;

/// State that an entry keeps for a service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) endpoints: Vec<EndpointKey>,
    /// The endpoints of each region, by its name.
    pub(crate) regions: BTreeMap<String, RegionEndpoints>,
    pub(crate) shares: RegionShares,
    /// Load of the endpoints in this entry's region.
    pub(crate) region_load: RegionLoadEstimate,
    pub(crate) service_time: ServiceTimeEstimate,
    pub(crate) retry_budget: RetryBudget,
    /// Highest priority of the routes to the service; 0 is the highest possible.
    pub(crate) top_priority: u32,
}

impl Service {
    /// Creates the state of a service. `entries` is the assumed number of entries that share the
    /// retry budget.
    pub(crate) fn new(settings: &DispatchSettings, entries: u32) -> Self {
        let slack = BUDGET_FRACTION * settings.retry_slack / f64::from(entries.max(1));
        Service {
            endpoints: Vec::new(),
            regions: BTreeMap::new(),
            shares: RegionShares::default(),
            region_load: RegionLoadEstimate::default(),
            service_time: ServiceTimeEstimate::default(),
            retry_budget: RetryBudget::with_capacity(slack),
            top_priority: 0,
        }
    }

    /// Adds the amount that a first attempt contributes to the retry budget.
    pub(crate) fn deposit_retry_budget(&mut self, settings: &DispatchSettings) {
        self.retry_budget
            .deposit(BUDGET_FRACTION * settings.retry_ratio);
    }
}

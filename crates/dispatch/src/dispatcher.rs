mod candidates;
mod check_health;
mod choose;
mod eligibility;
mod endpoint;
mod probe_targets;
mod record_notices;
mod record_outcome;
mod region_endpoints;
mod restart_reports;
mod service;
mod update;

use crate::region_entries::RegionEntries;
use crate::{DispatchSettings, EndpointKey};
use endpoint::Endpoint;
use mangospindle_model::RouteTable;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use service::Service;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Decides to which endpoint an entry sends each request.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    rng: SmallRng,
    routes: Arc<RouteTable>,
    /// Highest priority of the workspaces; 0 is the highest possible.
    top_workspace_priority: u32,
    evacuated: BTreeSet<String>,
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    by_instance: BTreeMap<String, EndpointKey>,
    services: BTreeMap<String, Service>,
    next_key: u32,
    /// Whether a request could have used an endpoint that needs a health check first.
    health_checks_wanted: bool,
    region_entries: RegionEntries,
    /// Until when the absence of a report means that no entry lost a connection to an endpoint.
    reports_complete_until: Duration,
}

impl Dispatcher {
    /// Creates a dispatcher without routes and endpoints. `seed` seeds its random number generator.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Dispatcher {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            routes: Arc::default(),
            top_workspace_priority: 0,
            evacuated: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            by_instance: BTreeMap::new(),
            services: BTreeMap::new(),
            next_key: 0,
            health_checks_wanted: false,
            region_entries: RegionEntries::default(),
            reports_complete_until: Duration::ZERO,
        }
    }

    /// The current routes.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Instance identifier of an endpoint, unless it has been removed.
    pub fn instance(&self, endpoint: EndpointKey) -> Option<&str> {
        Some(self.endpoints.get(&endpoint)?.instance.as_str())
    }

    /// Number of requests of this entry in progress at all endpoints.
    pub fn in_progress(&self) -> u32 {
        self.endpoints
            .values()
            .map(|e| e.load.own_in_progress())
            .sum()
    }

    /// Number of endpoints that may receive requests.
    pub fn usable_endpoints(&self, now: Duration) -> usize {
        let usable = |e: &&Endpoint| e.is_usable(now, &self.evacuated);
        self.endpoints.values().filter(usable).count()
    }

    /// Retries and hedged requests that remain in the budget of each service.
    pub fn retry_budgets(&self) -> impl Iterator<Item = (&str, f64)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name.as_str(), service.retry_budget.remaining()))
    }

    /// Number of entries in this region that are assumed to share its rate limits.
    pub fn region_entries(&self) -> u32 {
        self.region_entries.count()
    }
}

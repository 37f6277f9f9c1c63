mod choose;
mod endpoint;
mod observe;
mod service;
mod update;

use crate::{DispatchSettings, EndpointKey};
use endpoint::Endpoint;
use mangospindle_model::RouteTable;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use service::Service;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Decides where each request of an entry goes.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    rng: SmallRng,
    routes: Arc<RouteTable>,
    evacuated: BTreeSet<String>,
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    by_instance: BTreeMap<String, EndpointKey>,
    services: BTreeMap<String, Service>,
    next_key: u32,
    /// Entries of the own region, this one included, and when they were counted.
    region_entries: (u32, Duration),
}

impl Dispatcher {
    /// Creates a dispatcher without routes and endpoints. `seed` feeds the random choices.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        Dispatcher {
            settings,
            rng: SmallRng::seed_from_u64(seed),
            routes: Arc::default(),
            evacuated: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            by_instance: BTreeMap::new(),
            services: BTreeMap::new(),
            next_key: 0,
            region_entries: (1, Duration::ZERO),
        }
    }

    /// The routes in force.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Own requests in progress at all endpoints.
    pub fn in_progress(&self) -> u32 {
        self.endpoints.values().map(|e| e.load.own()).sum()
    }

    /// Number of endpoints that may get requests.
    pub fn usable(&self, now: Duration) -> usize {
        let usable = |e: &&Endpoint| e.is_usable(now, &self.evacuated);
        self.endpoints.values().filter(usable).count()
    }

    /// Second sends that each service can still pay for.
    pub fn retry_budgets(&self) -> impl Iterator<Item = (&str, f64)> {
        let services = self.services.iter();
        services.map(|(name, service)| (name.as_str(), service.budget.remaining()))
    }

    /// Entries that are assumed to share the rates of the own region.
    pub fn region_entries(&self) -> u32 {
        self.region_entries.0
    }
}

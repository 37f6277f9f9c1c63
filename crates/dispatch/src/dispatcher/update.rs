use super::Dispatcher;
use super::endpoint::Endpoint;
use super::service::Service;
use crate::EndpointKey;
use mangospindle_fleet::{EndpointDifference, EndpointRecord};
use mangospindle_model::RouteTable;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time added to the cold start of endpoints whose failure domain is no longer evacuated. They may
/// have started at the end of the evacuation, and the endpoint list that reports it arrives later.
const EVACUATION_COLD_MARGIN: Duration = Duration::from_secs(2);

/// Minimum of the time for which an endpoint still counts as cold after its cold start, and maximum
/// of the jitter that each entry adds to it. The cold rate limit applies to each one-second window
/// that begins during the cold start. Without jitter, all entries would send a request to an idle
/// endpoint at the moment it counts as warm.
pub(super) const COLD_MARGIN_AND_JITTER: (Duration, Duration) =
    (Duration::from_millis(1100), Duration::from_millis(1200));

/// Cold start duration of endpoints whose service is not in the routes.
pub(super) const DEFAULT_COLD_START: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// Replaces the endpoint list by one that is current as of `now`. Endpoints that are not listed
    /// are removed.
    pub fn update_endpoints(&mut self, now: Duration, records: &[EndpointRecord]) {
        let listed: BTreeSet<&str> = records.iter().map(|r| r.instance.as_str()).collect();
        self.endpoints
            .retain(|_, e| listed.contains(e.instance.as_str()));
        for record in records {
            self.update_endpoint(now, record);
        }
        self.by_instance = (self.endpoints.iter())
            .map(|(key, e)| (e.instance.clone(), *key))
            .collect();
        self.group_by_service();
    }

    /// Applies what has changed in the endpoint list. Endpoints that are not named keep their records.
    pub fn change_endpoints(&mut self, now: Duration, difference: &EndpointDifference) {
        for instance in &difference.removed {
            if let Some(key) = self.by_instance.remove(instance) {
                self.endpoints.remove(&key);
            }
        }
        for record in &difference.changed {
            self.update_endpoint(now, record);
        }
        self.group_by_service();
    }

    fn update_endpoint(&mut self, now: Duration, record: &EndpointRecord) {
        let service = self.routes.services.get(&record.service);
        let cold_start = service.map_or(DEFAULT_COLD_START, |s| s.cold_start);
        let known = self.by_instance.get(&record.instance).copied();
        let existing = known.and_then(|key| self.endpoints.get_mut(&key));
        let endpoint = match existing {
            Some(e) if e.is_same_lifetime(record) => return e.update(now, record, cold_start),
            Some(e) if e.is_at_place_of(record) => e.next_lifetime(now, record, cold_start),
            _ => Endpoint::new(record, now, self.cold_margin()),
        };
        if let Some(key) = known {
            self.endpoints.remove(&key);
        }
        let key = EndpointKey(self.next_key);
        self.next_key += 1;
        self.endpoints.insert(key, endpoint);
        self.by_instance.insert(record.instance.clone(), key);
    }

    /// Draws the time for which an endpoint still counts as cold after its cold start.
    fn cold_margin(&mut self) -> Duration {
        let (min, jitter) = COLD_MARGIN_AND_JITTER;
        min + jitter.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Replaces the routes and the evacuated failure domains.
    pub fn update_routes(
        &mut self,
        now: Duration,
        routes: Arc<RouteTable>,
        evacuated: BTreeSet<String>,
    ) {
        for endpoint in self.endpoints.values_mut() {
            let domain = &endpoint.failure_domain;
            if self.evacuated.contains(domain) && !evacuated.contains(domain) {
                let service = routes.services.get(&endpoint.service);
                let cold_start = service.map_or(DEFAULT_COLD_START, |s| s.cold_start);
                endpoint.mark_cold(now, cold_start + EVACUATION_COLD_MARGIN);
            }
        }
        let workspaces = routes.workspaces.workspaces.values();
        self.top_workspace_priority = workspaces.map(|w| w.priority).min().unwrap_or(0);
        self.routes = routes;
        self.evacuated = evacuated;
        self.group_by_service();
    }

    /// Records a report of the number of live entries in this region. A lower number takes effect only
    /// when all reports of a minute were lower.
    pub fn update_region_entries(&mut self, now: Duration, reported: u32) {
        self.region_entries.record(now, reported);
    }

    fn group_by_service(&mut self) {
        let mut groups: BTreeMap<&str, Vec<EndpointKey>> = BTreeMap::new();
        for (key, endpoint) in &self.endpoints {
            groups.entry(&endpoint.service).or_default().push(*key);
        }
        let entries = self.region_entries.count() * self.settings.region_count() as u32;
        for service in self.services.values_mut() {
            service.endpoints.clear();
        }
        for (name, keys) in groups {
            let service = (self.services.entry(name.to_string()))
                .or_insert_with(|| Service::new(&self.settings, entries));
            service.endpoints = keys;
        }
        self.group_by_region();
        for (name, service) in &mut self.services {
            let routes = self.routes.routes.values();
            let routes_to_service = routes.filter(|r| r.targets.iter().any(|t| t.service == *name));
            service.top_priority = routes_to_service.map(|r| r.priority).min().unwrap_or(0);
        }
    }
    /// Assigns the endpoints of each service to their regions. A region without endpoints is forgotten.
    fn group_by_region(&mut self) {
        for service in self.services.values_mut() {
            let mut regions: BTreeMap<&str, Vec<(EndpointKey, SocketAddr)>> = BTreeMap::new();
            for key in &service.endpoints {
                if let Some(e) = self.endpoints.get(key) {
                    let region = self.settings.region_of(&e.failure_domain);
                    regions.entry(region).or_default().push((*key, e.address));
                }
            }
            (service.regions).retain(|name, _| regions.contains_key(name.as_str()));
            for (name, endpoints) in regions {
                let region = service.regions.entry(name.to_string()).or_default();
                region.replace(endpoints.into_iter());
            }
        }
    }
}

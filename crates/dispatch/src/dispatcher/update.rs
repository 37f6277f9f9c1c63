use super::Dispatcher;
use super::endpoint::Endpoint;
use super::service::Service;
use crate::EndpointKey;
use mangospindle_fleet::EndpointRecord;
use mangospindle_model::RouteTable;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after the end of an evacuation in which endpoints count as cold in addition to their cold
/// start: they may have started at its end, and the list that says so arrives later.
const EVACUATION_MARGIN: Duration = Duration::from_secs(2);

/// How much longer an endpoint counts as cold: at least the first, and up to the second more, drawn
/// by each entry. The rate that it tolerates holds for each second that begins while it is cold, and
/// an idle endpoint that all entries find warm at the same moment gets a request from each of them.
const WARM_MARGIN: (Duration, Duration) =
    (Duration::from_millis(1100), Duration::from_millis(1200));

/// How long the highest number of live entries counts. Longer than most cuts.
const ENTRIES_MEMORY: Duration = Duration::from_secs(60);

/// Cold start of an endpoint whose service is not known.
pub(super) const DEFAULT_COLD_START: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// Takes a list of endpoints as of `now`. Endpoints that are not listed are gone.
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

    fn update_endpoint(&mut self, now: Duration, record: &EndpointRecord) {
        let known = self.by_instance.get(&record.instance);
        let known = known.and_then(|key| self.endpoints.get_mut(key));
        match known {
            Some(e) if e.address == record.address && e.service == record.service => {
                e.state = record.state;
                e.slots = record.slots.max(1);
                if !record.cold_for.is_zero() {
                    e.cool(now, record.cold_for);
                }
            }
            _ => {
                if let Some(key) = self.by_instance.get(&record.instance) {
                    self.endpoints.remove(key);
                }
                let key = EndpointKey(self.next_key);
                self.next_key += 1;
                let margin = WARM_MARGIN.0 + WARM_MARGIN.1.mul_f64(self.rng.random_range(0.0..1.0));
                self.endpoints
                    .insert(key, Endpoint::new(record, now, margin));
                self.by_instance.insert(record.instance.clone(), key);
            }
        }
    }

    /// Takes the routes and the evacuated failure domains.
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
                endpoint.cool(now, cold_start + EVACUATION_MARGIN);
            }
        }
        self.routes = routes;
        self.evacuated = evacuated;
        self.group_by_service();
    }

    /// Takes the number of live entries in the own region. A lower number counts only after
    /// a minute: entries that are cut off from the control replicas are not among the live
    /// ones but still send requests, and a replica that was cut off itself knows too few.
    pub fn update_region_entries(&mut self, now: Duration, region_entries: u32) {
        let (known, at) = self.region_entries;
        if region_entries >= known || now.saturating_sub(at) >= ENTRIES_MEMORY {
            self.region_entries = (region_entries.max(1), now);
        }
    }

    fn group_by_service(&mut self) {
        let mut groups: BTreeMap<&str, Vec<EndpointKey>> = BTreeMap::new();
        for (key, endpoint) in &self.endpoints {
            groups.entry(&endpoint.service).or_default().push(*key);
        }
        let entries = self.region_entries.0 * self.settings.region_count() as u32;
        for service in self.services.values_mut() {
            service.endpoints.clear();
        }
        for (name, keys) in groups {
            let service = (self.services.entry(name.to_string()))
                .or_insert_with(|| Service::new(&self.settings, entries));
            service.endpoints = keys;
        }
        for (name, service) in &mut self.services {
            let routes = self.routes.routes.values();
            let mine = routes.filter(|r| r.targets.iter().any(|t| t.service == *name));
            service.top_priority = mine.map(|r| r.priority).min().unwrap_or(0);
        }
    }
}

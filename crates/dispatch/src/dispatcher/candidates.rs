//! The endpoints among which one is chosen for a request.

use super::Dispatcher;
use super::region_endpoints::address_bits;
use crate::{EndpointKey, Request};
use mangospindle_model::rendezvous_score;
use rand::Rng;
use std::cmp::Reverse;
use std::time::Duration;

/// Number of endpoints in a region that share the requests for one affinity key. With many entries,
/// each one knows little about an endpoint's load. If requests for a key could go to any endpoint
/// that seems idle, every endpoint would receive more objects than fit into its working set.
const ENDPOINTS_PER_AFFINITY_KEY: usize = 2;

/// Maximum number of endpoints of a region that are compared for a request without affinity key. The
/// best of so many is seldom worse than the best of all.
const MAX_COMPARED_ENDPOINTS: usize = 16;

impl Dispatcher {
    /// Regions in which an endpoint can receive the request, in the order of their names.
    pub(super) fn usable_regions(&mut self, now: Duration, request: &Request<'_>) -> Vec<String> {
        let mut usable = Vec::new();
        for region in self.allowed_regions(request) {
            let mut position = 0;
            while let Some(key) = self.endpoint_at(request.service, &region, position) {
                if self.can_receive(now, key, request) {
                    usable.push(region);
                    break;
                }
                position += 1;
            }
        }
        usable
    }

    /// Endpoints of the regions that can receive the request, in order of preference if it has an
    /// affinity key.
    pub(super) fn candidates_in(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        regions: &[String],
    ) -> Vec<EndpointKey> {
        let mut candidates = Vec::new();
        for region in regions {
            match request.affinity {
                Some(affinity_key) => {
                    candidates.extend(self.preferred_in(now, request, region, affinity_key));
                }
                None => candidates.extend(self.sample_in(now, request, region)),
            }
        }
        if let Some(affinity_key) = request.affinity
            && regions.len() > 1
        {
            self.sort_by_preference(affinity_key, &mut candidates);
            candidates.truncate(ENDPOINTS_PER_AFFINITY_KEY);
        }
        candidates
    }

    /// Regions that have endpoints of the service and may serve the request.
    fn allowed_regions(&self, request: &Request<'_>) -> Vec<String> {
        let homes = request.home_regions;
        let service = self.services.get(request.service);
        let regions = service.into_iter().flat_map(|s| s.regions.keys());
        regions
            .filter(|region| homes.is_empty() || homes.contains(region))
            .cloned()
            .collect()
    }

    fn endpoint_at(&self, service: &str, region: &str, position: usize) -> Option<EndpointKey> {
        self.services
            .get(service)?
            .regions
            .get(region)?
            .get(position)
    }

    /// The most preferred endpoints of an affinity key in a region that can receive the request.
    fn preferred_in(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        region: &str,
        affinity_key: u64,
    ) -> Vec<EndpointKey> {
        let service = self.services.get_mut(request.service);
        let Some(endpoints) = service.and_then(|s| s.regions.get_mut(region)) else {
            return Vec::new();
        };
        let preferred = endpoints.preferred(affinity_key);
        let mut candidates = self.first_usable(now, request, preferred, Vec::new());
        if candidates.len() < ENDPOINTS_PER_AFFINITY_KEY {
            let service = self.services.get(request.service);
            let endpoints = service.and_then(|s| s.regions.get(region));
            let others = endpoints.map(|e| e.less_preferred(affinity_key));
            candidates = self.first_usable(now, request, others.unwrap_or_default(), candidates);
        }
        candidates
    }

    /// Adds endpoints that can receive the request to `candidates`, until there are enough.
    fn first_usable(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        keys: Vec<EndpointKey>,
        mut candidates: Vec<EndpointKey>,
    ) -> Vec<EndpointKey> {
        for key in keys {
            if candidates.len() >= ENDPOINTS_PER_AFFINITY_KEY {
                break;
            }
            if self.can_receive(now, key, request) {
                candidates.push(key);
            }
        }
        candidates
    }

    /// Endpoints of a region that can receive the request: all, or some that follow a random one.
    fn sample_in(
        &mut self,
        now: Duration,
        request: &Request<'_>,
        region: &str,
    ) -> Vec<EndpointKey> {
        let service = self.services.get(request.service);
        let count = service
            .and_then(|s| s.regions.get(region))
            .map_or(0, |e| e.len());
        let start = match count > MAX_COMPARED_ENDPOINTS {
            true => self.rng.random_range(0..count),
            false => 0,
        };
        let mut candidates = Vec::new();
        for n in 0..count {
            if candidates.len() >= MAX_COMPARED_ENDPOINTS {
                break;
            }
            let key = self.endpoint_at(request.service, region, (start + n) % count);
            if let Some(key) = key.filter(|key| self.can_receive(now, *key, request)) {
                candidates.push(key);
            }
        }
        candidates
    }

    fn sort_by_preference(&self, affinity_key: u64, keys: &mut [EndpointKey]) {
        let score = |key: &EndpointKey| {
            let address = self.endpoints.get(key).map(|e| e.address);
            rendezvous_score(affinity_key, address.map_or(0, address_bits))
        };
        keys.sort_by_cached_key(|key| Reverse(score(key)));
    }
}

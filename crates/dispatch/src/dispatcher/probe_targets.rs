use super::Dispatcher;
use crate::EndpointKey;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Dispatcher {
    /// Up to `count` random endpoints to which connections show whether this entry has a path to any
    /// endpoint. They are in different failure domains, because a whole domain can be lost.
    pub fn probe_targets(&mut self, count: usize) -> Vec<(EndpointKey, SocketAddr)> {
        let mut by_domain: BTreeMap<&str, Vec<(EndpointKey, SocketAddr)>> = BTreeMap::new();
        for (key, e) in &self.endpoints {
            if e.is_eligible(&self.evacuated) {
                let domain = by_domain.entry(&e.failure_domain).or_default();
                domain.push((*key, e.address));
            }
        }
        let domains: Vec<_> = by_domain.into_values().collect();
        let rng = &mut self.rng;
        let selected: Vec<_> = domains.choose_multiple(rng, count).collect();
        (selected.into_iter())
            .filter_map(|endpoints| endpoints.choose(rng).copied())
            .collect()
    }
}

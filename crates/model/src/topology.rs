use crate::{
    ClientRange, Endpoint, EndpointId, Entry, EntryId, FailureDomain, FailureDomainId, Link,
    Region, RegionId, Service, ServiceId, TopologyError,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Regions, failure domains, entries, endpoints, services and links of a deployment.
///
/// Items are addressed by keys, which are positions in the vectors. Items are only ever appended,
/// so that a key keeps its meaning.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topology {
    /// Arena of regions.
    pub regions: Vec<Region>,
    /// Arena of failure domains.
    pub failure_domains: Vec<FailureDomain>,
    /// Arena of entries.
    pub entries: Vec<Entry>,
    /// Arena of services.
    pub services: Vec<Service>,
    /// Arena of endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Directed links between regions.
    pub links: Vec<Link>,
    /// Client address ranges with their home regions.
    pub client_ranges: Vec<ClientRange>,
}

impl Topology {
    /// Region of a failure domain.
    pub fn region_of(&self, domain: FailureDomainId) -> RegionId {
        self.failure_domains[domain.index()].region
    }

    /// Region of an entry.
    pub fn entry_region(&self, entry: EntryId) -> RegionId {
        self.region_of(self.entries[entry.index()].failure_domain)
    }

    /// Region of an endpoint.
    pub fn endpoint_region(&self, endpoint: EndpointId) -> RegionId {
        self.region_of(self.endpoints[endpoint.index()].failure_domain)
    }

    /// Finds a service by name.
    pub fn service_by_name(&self, name: &str) -> Option<ServiceId> {
        let i = self.services.iter().position(|s| s.name == name)?;
        Some(ServiceId(i as u16))
    }

    /// Finds an entry by name.
    pub fn entry_by_name(&self, name: &str) -> Option<EntryId> {
        let i = self.entries.iter().position(|e| e.name == name)?;
        Some(EntryId(i as u16))
    }

    /// Finds an endpoint by name.
    pub fn endpoint_by_name(&self, name: &str) -> Option<EndpointId> {
        let i = self.endpoints.iter().position(|e| e.name == name)?;
        Some(EndpointId(i as u32))
    }

    /// Finds a region by name.
    pub fn region_by_name(&self, name: &str) -> Option<RegionId> {
        let i = self.regions.iter().position(|r| r.name == name)?;
        Some(RegionId(i as u16))
    }

    /// Keys of all endpoints.
    pub fn endpoint_ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.endpoints.len() as u32).map(EndpointId)
    }

    /// Keys of all entries.
    pub fn entry_ids(&self) -> impl Iterator<Item = EntryId> + use<> {
        (0..self.entries.len() as u16).map(EntryId)
    }

    /// Checks names, addresses, keys and ranges.
    pub fn validate(&self) -> Result<(), TopologyError> {
        unique_names(self.regions.iter().map(|r| &r.name))?;
        unique_names(self.failure_domains.iter().map(|d| &d.name))?;
        unique_names(self.services.iter().map(|s| &s.name))?;
        unique_names(
            (self.entries.iter().map(|e| &e.name)).chain(self.endpoints.iter().map(|e| &e.name)),
        )?;
        self.unique_addresses()?;
        self.keys_exist()?;
        self.numbers_in_range()
    }

    fn unique_addresses(&self) -> Result<(), TopologyError> {
        let entries = (self.entries.iter()).flat_map(|e| [e.public_address, e.internal_address]);
        let endpoints = self.endpoints.iter().map(|e| e.address);
        let mut seen = HashSet::new();
        match entries.chain(endpoints).find(|a| !seen.insert(*a)) {
            Some(address) => Err(TopologyError::DuplicateAddress(address.to_string())),
            None => Ok(()),
        }
    }

    fn keys_exist(&self) -> Result<(), TopologyError> {
        let region = |key: RegionId| key.index() < self.regions.len();
        let domain = |key: FailureDomainId| key.index() < self.failure_domains.len();
        let dangling = |name: &str| Err(TopologyError::DanglingKey(name.to_string()));
        if let Some(d) = self.failure_domains.iter().find(|d| !region(d.region)) {
            return dangling(&d.name);
        }
        if let Some(e) = self.entries.iter().find(|e| !domain(e.failure_domain)) {
            return dangling(&e.name);
        }
        let endpoint =
            |e: &&Endpoint| !domain(e.failure_domain) || e.service.index() >= self.services.len();
        if let Some(e) = self.endpoints.iter().find(endpoint) {
            return dangling(&e.name);
        }
        if self.links.iter().any(|l| !region(l.from) || !region(l.to)) {
            return dangling("a link");
        }
        match self.client_ranges.iter().find(|c| !region(c.region)) {
            Some(c) => dangling(&c.net.to_string()),
            None => Ok(()),
        }
    }

    fn numbers_in_range(&self) -> Result<(), TopologyError> {
        let out = |what: String| Err(TopologyError::OutOfRange(what));
        if let Some(e) = self
            .endpoints
            .iter()
            .find(|e| e.slots == 0 || e.max_connections < e.slots)
        {
            return out(format!("slots or max_connections of endpoint {}", e.name));
        }
        if let Some(s) = self.services.iter().find(|s| s.max_deadline.is_zero()) {
            return out(format!("max_deadline of service {}", s.name));
        }
        if self.links.iter().any(|l| l.bits_per_second == 0) {
            return out("bits_per_second of a link".to_string());
        }
        let bad_range = |c: &&ClientRange| {
            c.block_prefix < c.net.prefix_len() || c.block_prefix > c.net.max_prefix_len()
        };
        match self.client_ranges.iter().find(bad_range) {
            Some(c) => out(format!("block_prefix of client range {}", c.net)),
            None => Ok(()),
        }
    }
}

fn unique_names<'a, I>(names: I) -> Result<(), TopologyError>
where
    I: Iterator<Item = &'a String>,
{
    let mut seen = HashSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(TopologyError::DuplicateName(name.clone()));
        }
    }
    Ok(())
}

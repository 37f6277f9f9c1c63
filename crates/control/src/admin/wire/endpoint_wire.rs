use mangospindle_http::Problem;
use mangospindle_model::{Endpoint, EndpointId, ErrorKind, FailureDomainId, Topology};
use mangospindle_state::{Config, Takeover};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint with its drain state and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `model::Endpoint`"
)]
pub struct EndpointWire {
    pub name: String,
    pub service: String,
    pub region: String,
    pub failure_domain: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub max_connections: u32,
    /// Whether an operator has started a drain.
    pub drain: bool,
    /// Name of the entry that owns the endpoint.
    pub owner: Option<String>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// `clean` or `quarantine`.
    pub takeover: String,
}

impl EndpointWire {
    /// Converts an endpoint of a configuration.
    pub fn new(config: &Config, id: EndpointId) -> Self {
        let topology = &config.topology;
        let endpoint = &topology.endpoints[id.index()];
        let ownership = &config.ownership[id.index()];
        let owner = ownership.owner;
        EndpointWire {
            name: endpoint.name.clone(),
            service: topology.services[endpoint.service.index()].name.clone(),
            region: topology.regions[topology.endpoint_region(id).index()]
                .name
                .clone(),
            failure_domain: topology.failure_domains[endpoint.failure_domain.index()]
                .name
                .clone(),
            address: endpoint.address,
            slots: endpoint.slots,
            max_connections: endpoint.max_connections,
            drain: config.endpoint_drain[id.index()],
            owner: owner.map(|e| topology.entries[e.index()].name.clone()),
            epoch: ownership.epoch,
            takeover: match ownership.takeover {
                Takeover::Clean => "clean".to_string(),
                Takeover::Quarantine => "quarantine".to_string(),
            },
        }
    }
}

/// Request to add an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `model::Endpoint`"
)]
pub struct NewEndpointWire {
    pub name: String,
    pub service: String,
    pub failure_domain: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub max_connections: u32,
}

impl NewEndpointWire {
    /// Resolves the names to identifiers of a topology.
    ///
    /// Returns an error if a name is unknown.
    pub fn resolve(self, topology: &Topology) -> Result<Endpoint, Problem> {
        let service = topology.service_by_name(&self.service);
        Ok(Endpoint {
            name: self.name,
            service: service.ok_or_else(|| unknown_name("service", &self.service))?,
            failure_domain: resolve_failure_domain(topology, &self.failure_domain)?,
            address: self.address,
            slots: self.slots,
            max_connections: self.max_connections,
        })
    }
}

/// Returns the identifier of the failure domain with the given name.
pub(super) fn resolve_failure_domain(
    topology: &Topology,
    name: &str,
) -> Result<FailureDomainId, Problem> {
    let position = topology.failure_domains.iter().position(|d| d.name == name);
    let position = position.ok_or_else(|| unknown_name("failure domain", name))?;
    Ok(FailureDomainId(position as u16))
}

fn unknown_name(what: &str, name: &str) -> Problem {
    Problem::new(
        ErrorKind::InvalidChange,
        format!("there is no {what} `{name}`"),
    )
}

/// Request to start or end the drain of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetEndpointDrainWire {
    /// Whether the endpoint is to be drained.
    pub drain: bool,
}

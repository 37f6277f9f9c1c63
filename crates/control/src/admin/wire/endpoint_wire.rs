use mangospindle_http::Problem;
use mangospindle_model::{Endpoint, EndpointId, ErrorKind, FailureDomainId, Topology};
use mangospindle_state::{Config, Takeover};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint with its drain and its owner.
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
    /// Whether an operator drains it.
    pub drain: bool,
    /// Name of the owner.
    pub owner: Option<String>,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// `clean` or `quarantine`.
    pub takeover: String,
}

impl EndpointWire {
    /// Describes an endpoint of a configuration.
    pub fn new(config: &Config, id: EndpointId) -> Self {
        let topology = &config.topology;
        let item = &topology.endpoints[id.index()];
        let ownership = &config.ownership[id.index()];
        let owner = ownership.owner;
        EndpointWire {
            name: item.name.clone(),
            service: topology.services[item.service.index()].name.clone(),
            region: topology.regions[topology.endpoint_region(id).index()]
                .name
                .clone(),
            failure_domain: topology.failure_domains[item.failure_domain.index()]
                .name
                .clone(),
            address: item.address,
            slots: item.slots,
            max_connections: item.max_connections,
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
    /// Replaces names by keys of a topology.
    pub fn resolve(self, topology: &Topology) -> Result<Endpoint, Problem> {
        let service = topology.service_by_name(&self.service);
        Ok(Endpoint {
            name: self.name,
            service: service.ok_or_else(|| unknown("service", &self.service))?,
            failure_domain: failure_domain(topology, &self.failure_domain)?,
            address: self.address,
            slots: self.slots,
            max_connections: self.max_connections,
        })
    }
}

/// Finds a failure domain that a request names.
pub(super) fn failure_domain(topology: &Topology, name: &str) -> Result<FailureDomainId, Problem> {
    let position = topology.failure_domains.iter().position(|d| d.name == name);
    let position = position.ok_or_else(|| unknown("failure domain", name))?;
    Ok(FailureDomainId(position as u16))
}

fn unknown(what: &str, name: &str) -> Problem {
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

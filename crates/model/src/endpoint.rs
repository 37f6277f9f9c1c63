use crate::{FailureDomainId, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A server process of a service, on a VM that runs nothing of ours.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique name, the same as the VM's name in the platform's VM list.
    pub name: String,
    /// The service that the endpoint runs.
    pub service: ServiceId,
    /// Where the VM is.
    pub failure_domain: FailureDomainId,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Most requests in progress at a time.
    pub slots: u32,
    /// Most open connections at a time.
    pub max_connections: u32,
}

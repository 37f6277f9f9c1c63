use crate::FailureDomainId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Unique name, the same as the VM's name in the platform's VM list.
    pub name: String,
    /// Where the VM is.
    pub failure_domain: FailureDomainId,
    /// Address of the listener for callers.
    pub public_address: SocketAddr,
    /// Address of the listener for other entries.
    pub internal_address: SocketAddr,
}

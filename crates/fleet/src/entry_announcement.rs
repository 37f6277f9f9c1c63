use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an entry tells about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnnouncement {
    /// Name of the VM.
    pub name: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Name of its region.
    pub region: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Whether new callers may be sent to it.
    pub accepting: bool,
}

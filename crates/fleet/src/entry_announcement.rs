use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Announcement that an entry sends about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnnouncement {
    /// Name of the VM.
    pub name: String,
    /// Address at which the entry listens for callers.
    pub address: SocketAddr,
    /// Name of the entry's failure domain.
    pub failure_domain: String,
    /// Name of the entry's region.
    pub region: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Whether new callers may be directed to the entry.
    pub accepting: bool,
}

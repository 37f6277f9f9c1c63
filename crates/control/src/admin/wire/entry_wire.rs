use super::endpoint_wire::resolve_failure_domain;
use mangospindle_http::Problem;
use mangospindle_model::{Entry, EntryId, Topology};
use mangospindle_state::{Config, EntryStatus};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry with its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `model::Entry`"
)]
pub struct EntryWire {
    pub name: String,
    pub region: String,
    pub failure_domain: String,
    pub public_address: SocketAddr,
    pub internal_address: SocketAddr,
    /// `absent`, `active`, `leaving` or `fenced`.
    pub status: String,
    /// The process that joined last, as 16 hexadecimal digits, because JSON numbers are not
    /// exact for all 64-bit integers.
    pub incarnation: Option<String>,
    /// Number of endpoints that the entry owns.
    pub endpoints: usize,
}

impl EntryWire {
    /// Converts an entry of a configuration.
    pub fn new(config: &Config, id: EntryId) -> Self {
        let topology = &config.topology;
        let entry = &topology.entries[id.index()];
        let (status, incarnation) = match config.entry_status[id.index()] {
            EntryStatus::Absent => ("absent", None),
            EntryStatus::Active { incarnation } => ("active", Some(incarnation)),
            EntryStatus::Leaving { incarnation } => ("leaving", Some(incarnation)),
            EntryStatus::Fenced => ("fenced", None),
        };
        let owned = config.ownership.iter().filter(|o| o.owner == Some(id));
        EntryWire {
            name: entry.name.clone(),
            region: topology.regions[topology.entry_region(id).index()]
                .name
                .clone(),
            failure_domain: topology.failure_domains[entry.failure_domain.index()]
                .name
                .clone(),
            public_address: entry.public_address,
            internal_address: entry.internal_address,
            status: status.to_string(),
            incarnation: incarnation.map(format_incarnation),
            endpoints: owned.count(),
        }
    }
}

/// Formats an incarnation as 16 hexadecimal digits.
pub fn format_incarnation(incarnation: u64) -> String {
    format!("{incarnation:016x}")
}

/// Parses an incarnation of exactly 16 hexadecimal digits.
pub fn parse_incarnation(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// Request to add an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `model::Entry`"
)]
pub struct NewEntryWire {
    pub name: String,
    pub failure_domain: String,
    pub public_address: SocketAddr,
    pub internal_address: SocketAddr,
}

impl NewEntryWire {
    /// Resolves the names to identifiers of a topology.
    ///
    /// Returns an error if a name is unknown.
    pub fn resolve(self, topology: &Topology) -> Result<Entry, Problem> {
        Ok(Entry {
            name: self.name,
            failure_domain: resolve_failure_domain(topology, &self.failure_domain)?,
            public_address: self.public_address,
            internal_address: self.internal_address,
        })
    }
}

/// Request to fence a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FenceVmWire {
    /// The process to fence, in the format of [`EntryWire::incarnation`]. If it is given, the
    /// request has no effect if another process has joined since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<String>,
}

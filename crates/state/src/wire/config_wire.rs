use super::VersionedProfileWire;
use crate::{Config, DecodeError, EntryStatus, Ownership};
use mangospindle_model::{RouteTable, Topology};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The configuration in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ConfigWire {
    version: u64,
    topology: Topology,
    profiles: Vec<(String, VersionedProfileWire)>,
    ownership: Vec<Ownership>,
    entry_status: Vec<EntryStatus>,
    endpoint_drain: Vec<bool>,
    routes: RouteTable,
    evacuated: BTreeSet<String>,
}

impl From<&Config> for ConfigWire {
    fn from(config: &Config) -> Self {
        ConfigWire {
            version: config.version,
            topology: config.topology.clone(),
            profiles: (config.profiles.iter())
                .map(|(name, p)| (name.clone(), p.into()))
                .collect(),
            ownership: config.ownership.clone(),
            entry_status: config.entry_status.clone(),
            endpoint_drain: config.endpoint_drain.clone(),
            routes: config.routes.clone(),
            evacuated: config.evacuated.clone(),
        }
    }
}

impl TryFrom<ConfigWire> for Config {
    type Error = DecodeError;

    fn try_from(wire: ConfigWire) -> Result<Self, Self::Error> {
        let config = Config {
            version: wire.version,
            profiles: (wire.profiles.into_iter())
                .map(|(name, p)| (name, p.into()))
                .collect(),
            ownership: wire.ownership,
            entry_status: wire.entry_status,
            endpoint_drain: wire.endpoint_drain,
            routes: wire.routes,
            evacuated: wire.evacuated,
            topology: wire.topology,
        };
        check_consistency(&config).map_err(DecodeError::Inconsistent)?;
        Ok(config)
    }
}

/// Checks the invariants that indexing relies on.
fn check_consistency(config: &Config) -> Result<(), String> {
    let topology = &config.topology;
    topology.validate().map_err(|e| e.to_string())?;
    let (endpoints, entries) = (topology.endpoints.len(), topology.entries.len());
    let owner_exists = |o: &Ownership| o.owner.is_none_or(|entry| entry.index() < entries);
    let profile_exists = |name: &String| config.profiles.contains_key(name);
    let checks = [
        (
            config.ownership.len() == endpoints,
            "the number of owners differs from that of endpoints",
        ),
        (
            config.endpoint_drain.len() == endpoints,
            "the number of drain flags differs from that of endpoints",
        ),
        (
            config.entry_status.len() == entries,
            "the number of entry statuses differs from that of entries",
        ),
        (
            config.ownership.iter().all(owner_exists),
            "an owner does not exist",
        ),
        (
            (topology.services.iter()).all(|s| profile_exists(&s.profile)),
            "the profile of a service does not exist",
        ),
        (
            (config.profiles.iter()).all(|(name, v)| *name == v.profile.name),
            "a profile is stored under another name",
        ),
    ];
    match checks.into_iter().find(|(ok, _)| !ok) {
        Some((_, detail)) => Err(detail.to_string()),
        None => Ok(()),
    }
}

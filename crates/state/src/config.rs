use crate::{ConfigChange, EntryStatus, Ownership, Takeover, VersionedProfile};
use mangospindle_model::{EndpointId, EntryId, Profile, RouteTable, ServiceId, Topology};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The part of the replicated state that entries keep a copy of.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Increases by one with each change. Zero means that there is no configuration yet.
    pub version: u64,
    /// Regions, failure domains, entries, services, endpoints, links and client ranges.
    pub topology: Topology,
    /// Profiles by name.
    pub profiles: BTreeMap<String, VersionedProfile>,
    /// Owner of each endpoint, in the order of the topology.
    pub ownership: Vec<Ownership>,
    /// Status of each entry, in the order of the topology.
    pub entry_status: Vec<EntryStatus>,
    /// Whether an operator drains each endpoint, in the order of the topology.
    pub endpoint_drain: Vec<bool>,
    /// The route table that operators replace, with its number.
    pub routes: RouteTable,
    /// Evacuated failure domains. No requests are sent to their endpoints.
    pub evacuated: BTreeSet<String>,
}

impl Config {
    /// Creates the initial configuration, in which no endpoint has an owner.
    pub fn bootstrap(topology: Topology, profiles: Vec<Profile>) -> Self {
        let unowned = Ownership {
            owner: None,
            epoch: 0,
            takeover: Takeover::Clean,
        };
        let versioned = |profile: Profile| VersionedProfile {
            version: 1,
            profile,
        };
        Config {
            version: 1,
            ownership: vec![unowned; topology.endpoints.len()],
            entry_status: vec![EntryStatus::Absent; topology.entries.len()],
            endpoint_drain: vec![false; topology.endpoints.len()],
            profiles: profiles
                .into_iter()
                .map(|p| (p.name.clone(), versioned(p)))
                .collect(),
            topology,
            routes: RouteTable::default(),
            evacuated: BTreeSet::new(),
        }
    }

    /// Applies a change and increases the version by one.
    pub fn apply(&mut self, change: &ConfigChange) {
        self.version += 1;
        match change {
            ConfigChange::PutProfile(versioned) => {
                let name = versioned.profile.name.clone();
                self.profiles.insert(name, versioned.clone());
            }
            ConfigChange::DeleteProfile(name) => {
                self.profiles.remove(name);
            }
            ConfigChange::AssignProfile(service, profile) => {
                self.topology.services[service.index()].profile = profile.clone();
            }
            ConfigChange::SetRegionLimit(region, limit) => {
                self.topology.regions[region.index()].max_in_progress = *limit;
            }
            ConfigChange::SetEndpointDrain(endpoint, drain) => {
                self.endpoint_drain[endpoint.index()] = *drain;
            }
            ConfigChange::UpdateRoutes(change) => self.routes.apply(change),
            ConfigChange::UpdateRoutesAndWorkspaces(routes, workspaces) => {
                self.routes.apply(routes);
                self.routes.workspaces.apply(workspaces);
            }
            ConfigChange::SetEvacuation(domain, true) => {
                self.evacuated.insert(domain.clone());
            }
            ConfigChange::SetEvacuation(domain, false) => {
                self.evacuated.remove(domain);
            }
            ConfigChange::AddEntry(entry) => {
                self.topology.entries.push(entry.clone());
                self.entry_status.push(EntryStatus::Absent);
            }
            ConfigChange::AddEndpoint(endpoint) => {
                self.topology.endpoints.push(endpoint.clone());
                self.endpoint_drain.push(false);
                self.ownership.push(Ownership {
                    owner: None,
                    epoch: 0,
                    takeover: Takeover::Clean,
                });
            }
            ConfigChange::SetEntryStatus(entry, status) => {
                self.entry_status[entry.index()] = *status;
            }
            ConfigChange::SetOwnership(endpoint, ownership) => {
                self.ownership[endpoint.index()] = *ownership;
            }
        }
    }

    /// Returns the profile of a service, or `None` if there is no profile of that name.
    pub fn profile_of(&self, service: ServiceId) -> Option<&Profile> {
        let name = &self.topology.services[service.index()].profile;
        self.profiles.get(name).map(|v| &v.profile)
    }

    /// Returns the owner of an endpoint, or `None` if it has none.
    pub fn owner_of(&self, endpoint: EndpointId) -> Option<EntryId> {
        self.ownership[endpoint.index()].owner
    }

    /// Whether an entry is active. Only active entries accept endpoints and new callers.
    pub fn is_active(&self, entry: EntryId) -> bool {
        matches!(self.entry_status[entry.index()], EntryStatus::Active { .. })
    }
}

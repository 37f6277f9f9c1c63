use super::VersionedProfileWire;
use crate::{ConfigChange, EntryStatus, Ownership};
use mangospindle_model::{
    Endpoint, EndpointId, Entry, EntryId, RegionId, RouteTableChange, ServiceId,
    WorkspaceTableChange,
};
use serde::{Deserialize, Serialize};

/// A change of the configuration in a snapshot. The order of the variants is part of the format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ChangeWire {
    PutProfile(VersionedProfileWire),
    DeleteProfile(String),
    AssignProfile(ServiceId, String),
    SetRegionLimit(RegionId, u32),
    SetEndpointDrain(EndpointId, bool),
    AddEntry(Entry),
    AddEndpoint(Endpoint),
    SetEntryStatus(EntryId, EntryStatus),
    SetOwnership(EndpointId, Ownership),
    UpdateRoutes(Box<RouteTableChange>),
    SetEvacuation(String, bool),
    UpdateRoutesAndWorkspaces(Box<RouteTableChange>, Box<WorkspaceTableChange>),
}

impl From<&ConfigChange> for ChangeWire {
    fn from(change: &ConfigChange) -> Self {
        match change {
            ConfigChange::PutProfile(p) => ChangeWire::PutProfile(p.into()),
            ConfigChange::DeleteProfile(name) => ChangeWire::DeleteProfile(name.clone()),
            ConfigChange::AssignProfile(id, name) => ChangeWire::AssignProfile(*id, name.clone()),
            ConfigChange::SetRegionLimit(id, limit) => ChangeWire::SetRegionLimit(*id, *limit),
            ConfigChange::SetEndpointDrain(id, drain) => ChangeWire::SetEndpointDrain(*id, *drain),
            ConfigChange::AddEntry(entry) => ChangeWire::AddEntry(entry.clone()),
            ConfigChange::AddEndpoint(endpoint) => ChangeWire::AddEndpoint(endpoint.clone()),
            ConfigChange::SetEntryStatus(id, status) => ChangeWire::SetEntryStatus(*id, *status),
            ConfigChange::SetOwnership(id, owner) => ChangeWire::SetOwnership(*id, *owner),
            ConfigChange::UpdateRoutes(c) => ChangeWire::UpdateRoutes(c.clone()),
            ConfigChange::SetEvacuation(name, on) => ChangeWire::SetEvacuation(name.clone(), *on),
            ConfigChange::UpdateRoutesAndWorkspaces(routes, workspaces) => {
                ChangeWire::UpdateRoutesAndWorkspaces(routes.clone(), workspaces.clone())
            }
        }
    }
}

impl From<ChangeWire> for ConfigChange {
    fn from(wire: ChangeWire) -> Self {
        match wire {
            ChangeWire::PutProfile(p) => ConfigChange::PutProfile(p.into()),
            ChangeWire::DeleteProfile(name) => ConfigChange::DeleteProfile(name),
            ChangeWire::AssignProfile(id, name) => ConfigChange::AssignProfile(id, name),
            ChangeWire::SetRegionLimit(id, limit) => ConfigChange::SetRegionLimit(id, limit),
            ChangeWire::SetEndpointDrain(id, drain) => ConfigChange::SetEndpointDrain(id, drain),
            ChangeWire::AddEntry(entry) => ConfigChange::AddEntry(entry),
            ChangeWire::AddEndpoint(endpoint) => ConfigChange::AddEndpoint(endpoint),
            ChangeWire::SetEntryStatus(id, status) => ConfigChange::SetEntryStatus(id, status),
            ChangeWire::SetOwnership(id, owner) => ConfigChange::SetOwnership(id, owner),
            ChangeWire::UpdateRoutes(c) => ConfigChange::UpdateRoutes(c),
            ChangeWire::SetEvacuation(name, on) => ConfigChange::SetEvacuation(name, on),
            ChangeWire::UpdateRoutesAndWorkspaces(routes, workspaces) => {
                ConfigChange::UpdateRoutesAndWorkspaces(routes, workspaces)
            }
        }
    }
}

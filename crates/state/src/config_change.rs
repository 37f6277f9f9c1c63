use crate::{EntryStatus, Ownership, VersionedProfile};
use mangospindle_model::{
    Endpoint, EndpointId, Entry, EntryId, RegionId, RouteTableChange, ServiceId,
    WorkspaceTableChange,
};
use serde::{Deserialize, Serialize};

/// Change from one version of a [`Config`](crate::Config) to the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// A profile was created or replaced.
    PutProfile(VersionedProfile),
    /// A profile was removed.
    DeleteProfile(String),
    /// A service was assigned another profile.
    AssignProfile(ServiceId, String),
    /// The in-progress limit of a region changed.
    SetRegionLimit(RegionId, u32),
    /// The drain of an endpoint started or ended.
    SetEndpointDrain(EndpointId, bool),
    /// The route table changed.
    UpdateRoutes(Box<RouteTableChange>),
    /// The evacuation of a failure domain started or ended.
    SetEvacuation(String, bool),
    /// An entry was added.
    AddEntry(Entry),
    /// An endpoint was added.
    AddEndpoint(Endpoint),
    /// The status of an entry changed.
    SetEntryStatus(EntryId, EntryStatus),
    /// An endpoint changed its owner.
    SetOwnership(EndpointId, Ownership),
    /// The route table and its workspaces changed. Earlier builds cannot read this change.
    UpdateRoutesAndWorkspaces(Box<RouteTableChange>, Box<WorkspaceTableChange>),
}

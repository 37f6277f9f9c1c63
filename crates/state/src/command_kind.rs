use crate::{Attempt, ClaimKey, RecordedResponse};
use mangospindle_model::{
    Endpoint, EndpointId, Entry, EntryId, Profile, RegionId, RouteTable, ServiceId, Topology,
    WorkspaceTable,
};
use serde::{Deserialize, Serialize};

/// Operation of a [`Command`](crate::Command).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Sets the initial configuration. Has no effect if there already is a configuration.
    Bootstrap {
        /// The topology.
        topology: Topology,
        /// The profiles.
        profiles: Vec<Profile>,
    },
    /// Creates (`base_version` 0) or replaces a profile.
    PutProfile {
        /// The new content.
        profile: Profile,
        /// The version that the change is based on.
        base_version: u64,
    },
    /// Removes a profile that no service uses.
    DeleteProfile {
        /// Name of the profile.
        name: String,
        /// The version that the change is based on.
        base_version: u64,
    },
    /// Assigns another profile to a service.
    AssignProfile {
        /// The service.
        service: ServiceId,
        /// Name of the profile.
        profile: String,
        /// The profile that the operator read as the current one of the service.
        base_profile: String,
    },
    /// Changes the in-progress limit of a region.
    SetRegionLimit {
        /// The region.
        region: RegionId,
        /// The new limit.
        max_in_progress: u32,
        /// The limit that the operator read as the current one.
        base: u32,
    },
    /// Starts or ends the drain of an endpoint.
    SetEndpointDrain {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether to drain the endpoint.
        drain: bool,
    },
    /// Replaces the route table by one without workspaces. Has no effect unless the number of the new
    /// table is higher than that of the current one.
    PutRoutes {
        /// The table.
        table: Box<RouteTable>,
        /// The table as the operator sent it. Operators can read it back.
        document: String,
    },
    /// Starts or ends the evacuation of a failure domain.
    SetEvacuation {
        /// Name of the failure domain.
        failure_domain: String,
        /// Whether to stop sending requests to its endpoints.
        evacuate: bool,
    },
    /// Adds an entry VM.
    AddEntry {
        /// The entry.
        entry: Entry,
    },
    /// Adds an endpoint.
    AddEndpoint {
        /// The endpoint.
        endpoint: Endpoint,
    },
    /// An entry process has started.
    EntryJoin {
        /// The entry.
        entry: EntryId,
        /// Random number drawn at the start of the entry process.
        incarnation: u64,
    },
    /// An entry process is stopping.
    EntryLeave {
        /// The entry.
        entry: EntryId,
        /// Incarnation of the process that is stopping.
        incarnation: u64,
    },
    /// The owner has no request in progress at the endpoint and dispatches no further requests. An
    /// owner in quarantine releases only after the quarantine. If it releases earlier, the next
    /// owner inherits the quarantine.
    ReleaseEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// The owner.
        entry: EntryId,
        /// The epoch of the ownership that ends.
        epoch: u64,
    },
    /// The VM of an entry is known to have stopped.
    FenceVm {
        /// Name of the VM.
        name: String,
        /// Incarnation of the process that was last seen on the VM. With it, a fence that arrives
        /// after the VM was replaced has no effect. Without it, the process that joined last is
        /// fenced.
        incarnation: Option<u64>,
    },
    /// Claims an at-most-once action.
    Claim {
        /// The action.
        key: ClaimKey,
        /// Digest of method, path and body.
        digest: [u8; 32],
        /// The attempt that makes the claim.
        attempt: Attempt,
    },
    /// Records the response of a claimed action.
    CompleteClaim {
        /// The action.
        key: ClaimKey,
        /// The attempt that holds the claim.
        attempt: Attempt,
        /// The response.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// Releases a claim whose action did not run and will not run under this claim.
    ReleaseClaim {
        /// The action.
        key: ClaimKey,
        /// The attempt that holds the claim.
        attempt: Attempt,
    },
    /// Marks the outcome of a claimed action as unknown.
    MarkClaimUnknown {
        /// The action.
        key: ClaimKey,
        /// The attempt that holds the claim.
        attempt: Attempt,
    },
    /// Removes claims, request outcomes and released attempts that are older than their retention.
    Expire,
    /// Replaces the route table and its workspaces, like [`CommandKind::PutRoutes`]. Earlier builds
    /// cannot read this command.
    PutRoutesAndWorkspaces {
        /// The table. Its workspaces are not encoded.
        table: Box<RouteTable>,
        /// The workspaces of the table.
        workspaces: Box<WorkspaceTable>,
        /// The table as the operator sent it. Operators can read it back.
        document: String,
    },
    /// Sets the first route table and its workspaces, also if its number is 0. Has no effect if there
    /// is a table. [`CommandKind::PutRoutes`] with number 0 has no effect in any build, so that
    /// replicas of earlier builds, which cannot read this command, agree on it.
    PutFirstRoutes {
        /// The table. Its workspaces are not encoded.
        table: Box<RouteTable>,
        /// The workspaces of the table.
        workspaces: Box<WorkspaceTable>,
        /// The table as the operator sent it. Operators can read it back.
        document: String,
    },
}

use crate::{Attempt, ClaimKey, RecordedResponse};
use mangospindle_model::{
    Endpoint, EndpointId, Entry, EntryId, Profile, RegionId, RouteTable, ServiceId, Topology,
};
use serde::{Deserialize, Serialize};

/// What a [`Command`](crate::Command) does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Sets the first configuration. Has no effect once there is one.
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
    /// Removes a profile that no service runs under.
    DeleteProfile {
        /// Name of the profile.
        name: String,
        /// The version that the change is based on.
        base_version: u64,
    },
    /// Makes a service run under another profile.
    AssignProfile {
        /// The service.
        service: ServiceId,
        /// Name of the profile.
        profile: String,
        /// The profile that the service runs under at present, as the operator saw it.
        base_profile: String,
    },
    /// Changes the in-progress limit of a region.
    SetRegionLimit {
        /// The region.
        region: RegionId,
        /// The new limit.
        max_in_progress: u32,
        /// The limit as the operator saw it.
        base: u32,
    },
    /// Starts or ends the drain of an endpoint.
    SetEndpointDrain {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint is to be drained.
        drain: bool,
    },
    /// Puts a table of routes. Has no effect unless its number is above that of the present one.
    PutRoutes {
        /// The table.
        table: Box<RouteTable>,
        /// The table as the operator sent it, to be read back.
        document: String,
    },
    /// Starts or ends the evacuation of a failure domain.
    SetEvacuation {
        /// Name of the failure domain.
        failure_domain: String,
        /// Whether nothing is to be sent to its endpoints.
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
        /// The process that is stopping.
        incarnation: u64,
    },
    /// The owner has no request in progress at the endpoint and dispatches nothing more. An owner
    /// in quarantine releases only after its wait; an earlier release passes the quarantine on.
    ReleaseEndpoint {
        /// The endpoint.
        endpoint: EndpointId,
        /// The owner.
        entry: EntryId,
        /// The epoch of the ownership that ends.
        epoch: u64,
    },
    /// The VM of an entry is known to be gone.
    FenceVm {
        /// Name of the VM.
        name: String,
        /// The process that was last seen on the VM. Without it, whichever process joined last is
        /// fenced; with it, a fence that arrives after the VM was replaced has no effect.
        incarnation: Option<u64>,
    },
    /// Claims an at-most-once action.
    Claim {
        /// The action.
        key: ClaimKey,
        /// Digest of method, path and body.
        digest: [u8; 32],
        /// Who claims.
        attempt: Attempt,
    },
    /// Records the answer of a claimed action.
    CompleteClaim {
        /// The action.
        key: ClaimKey,
        /// Who claimed it.
        attempt: Attempt,
        /// The response.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// Gives up a claim of an action that did not run and will not run under it.
    ReleaseClaim {
        /// The action.
        key: ClaimKey,
        /// Who claimed it.
        attempt: Attempt,
    },
    /// Marks the outcome of a claimed action as not known.
    MarkClaimUnknown {
        /// The action.
        key: ClaimKey,
        /// Who claimed it.
        attempt: Attempt,
    },
    /// Forgets claims and request results that are older than their retention time.
    Expire,
}

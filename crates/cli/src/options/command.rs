use std::net::IpAddr;
use std::path::PathBuf;

/// What a profile put is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProfileBase {
    /// The version in the file, as `profile show --json` prints it.
    InFile,
    /// A named version.
    Version(u64),
    /// The profile does not exist yet.
    Create,
}

/// What to do with the drain of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Start the drain.
    Start,
    /// End the drain.
    Stop,
}

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(
    missing_docs,
    reason = "the parser has a help text for each command and argument"
)]
pub enum Command {
    ProfileList,
    ProfileShow {
        name: String,
    },
    ProfileDiff {
        file: PathBuf,
    },
    ProfilePut {
        file: PathBuf,
        base: ProfileBase,
    },
    ProfileHistory {
        name: String,
    },
    ProfileDelete {
        name: String,
        base: u64,
    },
    ServiceList,
    ServiceAssign {
        service: String,
        profile: String,
        base: Option<String>,
    },
    RegionList,
    RegionLimit {
        region: String,
        limit: u32,
        base: Option<u32>,
    },
    DrainChange {
        action: DrainAction,
        endpoint: String,
    },
    DrainStatus,
    EndpointList,
    EntryList,
    Fence {
        vm: String,
        incarnation: Option<String>,
    },
    Status,
    Audit {
        after: u64,
        limit: usize,
    },
    Action {
        service: String,
        key: String,
    },
    WorkspacesList,
    WorkspacesShow {
        name: String,
    },
    Lookup {
        entry: String,
        service: String,
        client: IpAddr,
    },
}

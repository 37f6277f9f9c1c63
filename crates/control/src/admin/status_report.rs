use std::net::SocketAddr;
use std::time::Duration;

/// Current role of a control replica in the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Accepts changes.
    Leader,
    /// Follows the leader.
    Follower,
    /// Requests votes.
    Candidate,
    /// Catches up with the log and does not vote.
    Learner,
    /// Has not been in contact since the reporting replica started.
    Unknown,
}

impl ReplicaRole {
    /// Returns the name of the role in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            ReplicaRole::Leader => "leader",
            ReplicaRole::Follower => "follower",
            ReplicaRole::Candidate => "candidate",
            ReplicaRole::Learner => "learner",
            ReplicaRole::Unknown => "unknown",
        }
    }
}

/// Status of a control replica, as the reporting replica knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Name in the settings.
    pub name: String,
    /// Role in the replicated log.
    pub role: ReplicaRole,
    /// Last log index known to be on its disk. `None` if not known.
    pub match_index: Option<u64>,
    /// Time since the last contact. `None` if there was none.
    pub last_contact: Option<Duration>,
}

/// Status of an entry, as the reporting replica knows it from the entry's watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Name of the entry.
    pub name: String,
    /// Configuration version that the entry confirmed. `None` if it does not watch the reporting
    /// replica.
    pub applied_version: Option<u64>,
    /// Time since its last message. `None` if it does not watch the reporting replica.
    pub last_contact: Option<Duration>,
}

/// Drain progress of an endpoint, as last reported by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Name of the endpoint.
    pub name: String,
    /// Address of the internal listener of the endpoint's owner, which tracks the progress.
    pub owner: Option<SocketAddr>,
    /// Number of requests in progress. `None` if not known.
    pub in_progress: Option<u32>,
    /// Time from the start of the drain until no request was in progress.
    pub drain_time: Option<Duration>,
}

/// Status of the system, as one control replica knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Name of the reporting replica.
    pub replica: String,
    /// Whether the reporting replica can currently serve reads and changes.
    pub ready: bool,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Last committed log index.
    pub commit_index: u64,
    /// Last applied log index.
    pub applied_index: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Time since a majority last confirmed that the configuration is current.
    pub confirmation_age: Option<Duration>,
    /// All control replicas.
    pub replicas: Vec<ReplicaReport>,
    /// The entries that the reporting replica has information about.
    pub entries: Vec<EntryReport>,
    /// The drained endpoints that the reporting replica has information about.
    pub drains: Vec<DrainReport>,
}

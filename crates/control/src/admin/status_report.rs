use std::net::SocketAddr;
use std::time::Duration;

/// What a control replica is in the replicated log at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Accepts changes.
    Leader,
    /// Follows the leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Catches up and does not vote.
    Learner,
    /// Not heard of since this replica started.
    Unknown,
}

impl ReplicaRole {
    /// Name in answers.
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

/// A control replica as the answering replica sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Name in the settings.
    pub name: String,
    /// Role in the replicated log.
    pub role: ReplicaRole,
    /// Last log index known to be on its disk; `None` if not known.
    pub match_index: Option<u64>,
    /// Time since it was last heard of; `None` if never.
    pub last_contact: Option<Duration>,
}

/// An entry as its watch shows it to the answering replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Name of the entry.
    pub name: String,
    /// Version of the configuration that it confirmed; `None` if it does not watch this replica.
    pub applied_version: Option<u64>,
    /// Time since its last message; `None` if it does not watch this replica.
    pub last_contact: Option<Duration>,
}

/// What the owner of a drained endpoint reported last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Name of the endpoint.
    pub name: String,
    /// Internal listener of the endpoint's owner, which knows the progress.
    pub owner: Option<SocketAddr>,
    /// Requests in progress; `None` if not known.
    pub in_progress: Option<u32>,
    /// Time from the start of the drain until no request was in progress.
    pub drain_time: Option<Duration>,
}

/// Status of the system as far as one control replica knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// Name of the answering replica.
    pub replica: String,
    /// Whether it can serve reads and changes now.
    pub ready: bool,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Present term.
    pub term: u64,
    /// Last committed log index.
    pub commit_index: u64,
    /// Last applied log index.
    pub applied_index: u64,
    /// Version of the configuration.
    pub version: u64,
    /// How long ago a majority agreed that the configuration is current.
    pub confirmation_age: Option<Duration>,
    /// All control replicas.
    pub replicas: Vec<ReplicaReport>,
    /// The entries that this replica knows something of.
    pub entries: Vec<EntryReport>,
    /// The drained endpoints that this replica knows something of.
    pub drains: Vec<DrainReport>,
}

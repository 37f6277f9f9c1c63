use crate::published::Published;
use mangospindle_consensus::{Node, Role};
use serde::Serialize;
use std::time::Duration;

/// Whether a replica can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Confirmed by a majority.
    Confirmed,
    /// Follows a leader and is behind it, or is not a voter yet.
    Lagging,
    /// Knows no leader; its state was confirmed within the bound.
    NoLeader,
    /// Knows no leader, and its state was not confirmed within the bound.
    CutOff,
    /// Is stopping.
    Stopping,
    /// Could not write its log; takes no part until it is restarted.
    DiskFailed,
}

impl Health {
    /// Health of a replica that takes part.
    pub(crate) fn read(node: &Node, cut_off: bool) -> Self {
        match node.leader() {
            None if cut_off => Health::CutOff,
            None => Health::NoLeader,
            Some(_) if cut_off || node.role() == Role::Learner => Health::Lagging,
            Some(_) => Health::Confirmed,
        }
    }
}

/// State of one replica, for people and for the administration API.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaStatus {
    /// Number of the replica.
    pub replica: u16,
    /// Identifier of its data directory.
    pub storage: String,
    /// Whether it can be relied on.
    pub health: Health,
    /// Role in the replicated log.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Replica that leads, if known.
    pub leader: Option<u16>,
    /// Last position of the log.
    pub last_index: u64,
    /// Last committed position.
    pub commit_index: u64,
    /// Last applied position.
    pub applied_index: u64,
    /// Version of the configuration.
    pub version: u64,
    /// Time since the state was known to be current, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Replicas that vote and count.
    pub voters: Vec<u16>,
    /// Replicas that catch up.
    pub learners: Vec<u16>,
}

impl ReplicaStatus {
    /// Reads the status at a time. `withdrawn` says why the replica refuses all work, if it does.
    pub(crate) fn read(
        node: &Node,
        published: &Published,
        applied_index: u64,
        withdrawn: Option<Health>,
        now: Duration,
    ) -> Self {
        let age = published.confirmed_age(now);
        let role = node.role();
        let health = match withdrawn {
            Some(health) => health,
            None => Health::read(node, published.cut_off(now)),
        };
        let membership = node.membership();
        ReplicaStatus {
            replica: node.member().replica.0,
            storage: node.member().storage.0.to_string(),
            health,
            role,
            term: node.term(),
            leader: node.leader().map(|l| l.replica.0),
            last_index: node.last_index(),
            commit_index: node.commit_index(),
            applied_index,
            version: published.version.borrow().0,
            confirmed_age_ms: age.map(|age| age.as_millis() as u64),
            voters: membership.voters.iter().map(|m| m.replica.0).collect(),
            learners: membership.learners.iter().map(|m| m.replica.0).collect(),
        }
    }
}

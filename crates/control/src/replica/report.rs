//! The status report.

use super::{Phase, Replica};
use crate::admin::{DrainReport, EntryReport, ReplicaReport, ReplicaRole, StatusReport};
use mangospindle_consensus::{ReplicaId, Role};
use mangospindle_model::EndpointId;
use mangospindle_state::Config;
use std::collections::BTreeSet;

fn replica_name(replica: ReplicaId) -> String {
    format!("control-{}", replica.0)
}

/// Endpoints that an operator drains, each with the address of its owner, which knows the progress.
fn drain_progress(config: &Config) -> Vec<DrainReport> {
    let topology = &config.topology;
    let progress = |id: EndpointId| DrainReport {
        name: topology.endpoints[id.index()].name.clone(),
        owner: (config.owner_of(id)).map(|e| topology.entries[e.index()].internal_address),
        in_progress: None,
        drain_time: None,
    };
    (topology.endpoint_ids())
        .filter(|id| config.endpoint_drain[id.index()])
        .map(progress)
        .collect()
}

impl Replica {
    pub(super) fn status(&self) -> StatusReport {
        let now = self.now();
        let node = &self.parts.node;
        let published = &self.parts.published;
        let state = published.state.borrow();
        let topology = &state.config().topology;
        let entries = (published.entry_watches.borrow().iter())
            .filter_map(|(entry, (version, at))| {
                Some(EntryReport {
                    name: topology.entries.get(entry.index())?.name.clone(),
                    applied_version: Some(*version),
                    last_contact: Some(now.saturating_sub(*at)),
                })
            })
            .collect();
        StatusReport {
            replica: replica_name(node.member().replica),
            ready: self.phase == Phase::Running && !published.cut_off(now),
            leader: published.leader.get().map(|l| replica_name(l.replica)),
            term: node.term(),
            commit_index: node.commit_index(),
            applied_index: self.applied.0,
            version: state.config().version,
            confirmation_age: published.confirmed_age(now),
            replicas: (self.known_replicas().into_iter())
                .map(|r| self.replica_report(r))
                .collect(),
            entries,
            drains: drain_progress(state.config()),
        }
    }

    /// The configured replicas and the replicas of the membership.
    fn known_replicas(&self) -> BTreeSet<ReplicaId> {
        let members = self.parts.node.membership().members().map(|m| m.replica);
        let configured = self.parts.options.replicas.initial_ids();
        configured.into_iter().chain(members).collect()
    }

    /// Reports what this replica knows about a replica. Only the local replica's role and the leader are
    /// certain.
    fn replica_report(&self, replica: ReplicaId) -> ReplicaReport {
        let node = &self.parts.node;
        let is_local = replica == node.member().replica;
        let mut learners = node.membership().learners.iter();
        let role = match self.parts.published.role.get() {
            Role::Leader if is_local => ReplicaRole::Leader,
            Role::Follower if is_local => ReplicaRole::Follower,
            Role::Candidate | Role::PreCandidate if is_local => ReplicaRole::Candidate,
            Role::Learner if is_local => ReplicaRole::Learner,
            _ if self
                .parts
                .published
                .leader
                .get()
                .is_some_and(|l| l.replica == replica) =>
            {
                ReplicaRole::Leader
            }
            _ if learners.any(|l| l.replica == replica) => ReplicaRole::Learner,
            _ => ReplicaRole::Unknown,
        };
        ReplicaReport {
            name: replica_name(replica),
            role,
            match_index: is_local.then(|| node.last_index()),
            last_contact: None,
        }
    }
}

//! The status report.

use super::{Phase, Replica};
use crate::admin::{DrainReport, EntryReport, ReplicaReport, ReplicaRole, StatusReport};
use mangospindle_consensus::{ReplicaId, Role};
use mangospindle_model::EndpointId;
use mangospindle_state::Config;
use std::collections::BTreeSet;

fn name(replica: ReplicaId) -> String {
    format!("control-{}", replica.0)
}

/// The endpoints that an operator drains, with the entries that know their progress.
fn drains(config: &Config) -> Vec<DrainReport> {
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
        let entries = (published.entries.borrow().iter())
            .filter_map(|(entry, (version, at))| {
                Some(EntryReport {
                    name: topology.entries.get(entry.index())?.name.clone(),
                    applied_version: Some(*version),
                    last_contact: Some(now.saturating_sub(*at)),
                })
            })
            .collect();
        StatusReport {
            replica: name(node.member().replica),
            ready: self.phase == Phase::Running && !published.cut_off(now),
            leader: published.leader.get().map(|l| name(l.replica)),
            term: node.term(),
            commit_index: node.commit_index(),
            applied_index: self.applied.0,
            version: state.config().version,
            confirmation_age: published.confirmed_age(now),
            replicas: (self.known_replicas().into_iter())
                .map(|r| self.replica_report(r))
                .collect(),
            entries,
            drains: drains(state.config()),
        }
    }

    /// The configured replicas and those of the membership.
    fn known_replicas(&self) -> BTreeSet<ReplicaId> {
        let members = self.parts.node.membership().members().map(|m| m.replica);
        let configured = self.parts.options.replicas.initial_ids();
        configured.into_iter().chain(members).collect()
    }

    /// What this replica knows of a replica. Only the own role and the leader are known for sure.
    fn replica_report(&self, replica: ReplicaId) -> ReplicaReport {
        let node = &self.parts.node;
        let own = replica == node.member().replica;
        let mut learners = node.membership().learners.iter();
        let role = match self.parts.published.role.get() {
            Role::Leader if own => ReplicaRole::Leader,
            Role::Follower if own => ReplicaRole::Follower,
            Role::Candidate | Role::PreCandidate if own => ReplicaRole::Candidate,
            Role::Learner if own => ReplicaRole::Learner,
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
            name: name(replica),
            role,
            match_index: own.then(|| node.last_index()),
            last_contact: None,
        }
    }
}

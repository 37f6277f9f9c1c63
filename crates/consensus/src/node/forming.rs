//! Cluster formation and `Hello` messages.
//!
//! A node whose storage is in no membership that it knows sends `Hello` to all replicas that it
//! knows. A member of an open membership that has not heard from a leader for some time does the
//! same.
//!
//! Once the lowest-numbered configured replica has received `Hello` from all others, it proposes
//! all of them as the initial voters. It does so by accepting the proposal itself, with a higher
//! ballot than any it has seen. Another replica persists its acceptance under three conditions: the
//! proposal has exactly the configured replicas, it names the replica's storage, and its ballot is
//! higher than any accepted before. The proposal is complete once *all* of its voters are known to
//! have accepted it. Each voter then starts its log with it. Until then no entry is appended and no
//! vote is granted.
//!
//! A node with a membership in its log never accepts a proposal. A second cluster could therefore
//! form only if every disk that took part in the first one were lost. A replica that returns with
//! an empty disk cannot complete a proposal, whatever old messages it receives.
//!
//! A node that has accepted a later proposal returns to an earlier, complete one if a voter of the
//! later proposal reports it, because that voter never accepts the later one. If a disk is lost
//! while the cluster forms, another proposal follows unless the earlier one is complete.

use super::{Node, PeerHello, State};
use crate::{
    Entry, Formation, Member, Membership, Message, MessageKind, Payload, ReplicaId, StorageId,
};
use std::collections::BTreeSet;
use std::time::Duration;
use uuid::Uuid;

/// Term of the entry with the initial membership. The first leader has a higher term.
const FORMATION_TERM: u64 = 1;

/// Number of election timeouts without a leader after which a member asks to be admitted again.
const REJOIN_ELECTION_TIMEOUTS: u32 = 2;

impl Node {
    /// Returns whether the storage has ever been part of a membership.
    pub fn is_formed(&self) -> bool {
        let (_, membership) = self.log.membership();
        !membership.voters.is_empty()
    }

    /// Sends `Hello` if it is due, and tries to form a cluster.
    pub(super) fn send_periodic_hello(&mut self, now: Duration) {
        let interval = match self.membership().contains(self.member()) {
            _ if self.stopping => return,
            true if self.may_be_removed(now) => self.settings.timing.election_timeout_min,
            true => return,
            false => self.settings.timing.heartbeat_interval,
        };
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + interval;
        self.broadcast_hello();
        if !self.is_formed() && self.settings.may_form {
            self.try_to_form();
        }
    }

    /// Returns whether the leader may have removed this member of an open membership. The member is
    /// not told, because no leader sends to it after the removal. A member that has just started
    /// may have been removed before.
    fn may_be_removed(&self, now: Duration) -> bool {
        let limit = self.settings.timing.election_timeout_max * REJOIN_ELECTION_TIMEOUTS;
        let is_leader = matches!(self.state, State::Leader(_));
        self.settings.open_membership
            && !is_leader
            && self
                .last_leader_contact
                .is_none_or(|at| now.saturating_sub(at) >= limit)
    }

    fn broadcast_hello(&mut self) {
        let own = self.member().replica;
        let configured = self.settings.replicas.iter().copied();
        let members = self.membership().members().map(|m| m.replica);
        let peer_replicas = self.peer_replicas.iter().copied();
        let targets: BTreeSet<ReplicaId> = configured.chain(peer_replicas).chain(members).collect();
        for replica in targets.into_iter().filter(|r| *r != own) {
            self.send_hello(replica);
        }
    }

    fn send_hello(&mut self, replica: ReplicaId) {
        let to = Member {
            replica,
            storage: StorageId(Uuid::nil()),
        };
        let kind = MessageKind::Hello {
            formation: self.hard_state.formation.clone(),
            formed: self.is_formed(),
            members: self.membership().members().map(|m| m.replica).collect(),
        };
        self.messages.push(Message {
            from: self.member(),
            to,
            term: self.term(),
            kind,
        });
    }

    pub(super) fn receive_hello(
        &mut self,
        now: Duration,
        sender: Member,
        formation: Option<Formation>,
        formed: bool,
        members: Vec<ReplicaId>,
    ) {
        if sender.replica == self.member().replica {
            return;
        }
        self.peer_replicas.extend(members);
        if self.is_formed() {
            if !formed || self.may_refer(now, sender) {
                self.send_hello(sender.replica);
            }
            return self.admit(now, sender);
        }
        if !self.settings.may_form {
            return;
        }
        if let Some(proposal) = &formation {
            self.accept_if_valid(proposal);
        }
        let peer_hello = PeerHello {
            sender,
            formation,
            formed,
        };
        self.peer_hellos.insert(sender.replica, peer_hello);
        self.try_to_form();
    }

    /// Returns whether the sender may have to learn the current members from this node. A member that
    /// was removed while it was partitioned may not know the leader. Only a node with a live leader
    /// replies, so that two nodes without one do not reply to each other forever.
    fn may_refer(&self, now: Duration, sender: Member) -> bool {
        self.settings.open_membership
            && self.has_live_leader(now)
            && !self.membership().contains(sender)
    }

    /// Accepts a proposal with a higher ballot if it has the configured replicas and this storage.
    fn accept_if_valid(&mut self, proposal: &Formation) {
        let accepted = self.hard_state.formation.as_ref();
        let is_newer = accepted.is_none_or(|f| proposal.ballot > f.ballot);
        let mut replicas = self.settings.replicas.clone();
        replicas.sort_unstable();
        let proposed = proposal.voters.iter().map(|v| v.replica);
        let matches_configured = proposed.eq(replicas);
        if is_newer && matches_configured && proposal.voters.contains(&self.member()) {
            self.accept_formation(Formation {
                complete: false,
                ..proposal.clone()
            });
        }
    }

    fn accept_formation(&mut self, formation: Formation) {
        self.hard_state.formation = Some(formation);
        self.hard_state_changed = true;
        self.broadcast_hello();
    }

    /// Completes the accepted proposal if possible. Otherwise proposes an initial membership, if
    /// this is the lowest-numbered replica.
    fn try_to_form(&mut self) {
        let own = self.member();
        let is_proposer = self.settings.replicas.iter().min() == Some(&own.replica);
        let others = self.settings.replicas.iter().filter(|r| **r != own.replica);
        let known_peers = others.filter_map(|r| self.peer_hellos.get(r));
        let mut voters: Vec<_> = known_peers.map(|h| h.sender).chain([own]).collect();
        voters.sort_unstable();
        let all_known = voters.len() == self.settings.replicas.len();
        let accepted = self.hard_state.formation.as_ref();
        match accepted.and_then(|accepted| self.find_complete(accepted)) {
            Some(complete) => {
                self.hard_state.formation = Some(complete);
                self.hard_state.term = self.hard_state.term.max(FORMATION_TERM);
                self.hard_state_changed = true;
                self.append_initial_membership();
                self.broadcast_hello();
            }
            None if is_proposer && all_known && accepted.is_none_or(|f| f.voters != voters) => {
                let none_formed = self.peer_hellos.values().all(|h| !h.formed);
                let known_formations = self
                    .peer_hellos
                    .values()
                    .filter_map(|h| h.formation.as_ref());
                let highest_ballot = known_formations.chain(accepted).map(|f| f.ballot).max();
                if none_formed {
                    self.accept_formation(Formation {
                        ballot: highest_ballot.unwrap_or(0) + 1,
                        voters,
                        complete: false,
                    });
                    self.try_to_form();
                }
            }
            _ => {}
        }
    }

    /// Returns the proposal that is known to be complete, if any. It is the accepted one or an
    /// earlier one.
    fn find_complete(&self, accepted: &Formation) -> Option<Formation> {
        let own = self.member();
        let proving_hello = self
            .peer_hellos
            .values()
            .find(|h| h.proves_complete(own, accepted));
        let mut voters = accepted.voters.iter();
        let all_accepted = voters.all(|voter| {
            let peer_hello = self.peer_hellos.get(&voter.replica);
            *voter == own || peer_hello.is_some_and(|h| h.has_accepted(*voter, accepted))
        });
        let complete = Formation {
            complete: true,
            ..accepted.clone()
        };
        proving_hello
            .and_then(|h| h.formation.clone())
            .or(all_accepted.then_some(complete))
    }

    /// Starts the log with the complete initial membership. This also runs at the start of the
    /// node, in case the process stopped before the entry was written.
    pub(super) fn append_initial_membership(&mut self) {
        match &self.hard_state.formation {
            Some(formation) if formation.complete && self.log.last_index() == 0 => {
                let membership = Membership {
                    voters: formation.voters.clone(),
                    learners: Vec::new(),
                };
                self.log.append(Entry {
                    index: 1,
                    term: FORMATION_TERM,
                    payload: Payload::Membership(membership),
                });
            }
            _ => {}
        }
    }

    /// Marks the accepted proposal as complete if the leader's log starts with it. Voters that do
    /// not know of the completion then learn of it from this node as well.
    pub(super) fn mark_formation_complete(&mut self, entry: &Entry) {
        match (&mut self.hard_state.formation, &entry.payload) {
            (Some(formation), Payload::Membership(membership))
                if entry.index == 1 && membership.voters == formation.voters =>
            {
                formation.complete = true;
                self.hard_state_changed = true;
            }
            _ => {}
        }
    }
}

impl PeerHello {
    /// Returns whether the sender reports that the accepted proposal is complete, or that an
    /// earlier one is. In the second case the sender never accepts the accepted proposal. That
    /// proposal then never completes, because the sender is one of its voters.
    fn proves_complete(&self, own: Member, accepted: &Formation) -> bool {
        self.formation.as_ref().is_some_and(|f| {
            let excluded = f.ballot < accepted.ballot
                && f.voters.contains(&own)
                && accepted.voters.contains(&self.sender);
            f.complete && (f.is_same(accepted) || excluded)
        })
    }

    /// Returns whether `voter` has accepted the proposal and may still start its log with it.
    fn has_accepted(&self, voter: Member, accepted: &Formation) -> bool {
        let formation = self.formation.as_ref();
        self.sender == voter
            && formation.is_some_and(|f| f.is_same(accepted) && (f.complete || !self.formed))
    }
}

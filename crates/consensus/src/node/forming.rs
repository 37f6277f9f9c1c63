//! Forming a new cluster, and `Hello`.
//!
//! A node whose storage is in no membership that it knows sends `Hello` to all replicas that it
//! knows. So does a member of an open membership that has heard no leader for a while.
//! Once the lowest-numbered one knows all of them, it proposes them as the initial voters, under a
//! ballot above all it has seen, by accepting the proposal itself. Each of the others accepts the
//! proposal durably if it has the configured replicas, names the own storage, and has a higher
//! ballot than any accepted before. The proposal is complete once *all* of its voters are known to
//! have accepted it; each of them then starts its log with it. Until then no entry is appended and
//! no vote is given.
//!
//! A node with a membership in its log never accepts a proposal. A second cluster could therefore
//! form only if every disk that took part in the first one were lost; a replica that returns with
//! an empty disk cannot complete a proposal, whatever old messages it receives. A node that
//! has accepted a later proposal goes back to an earlier, complete one if a voter of the later one
//! reports it: that voter never accepts the later one. If a disk is lost while the cluster forms,
//! another proposal follows, unless the earlier one is complete.

use super::{Greeting, Node, State};
use crate::{
    Entry, Formation, Member, Membership, Message, MessageKind, Payload, ReplicaId, StorageId,
};
use std::collections::BTreeSet;
use std::time::Duration;
use uuid::Uuid;

/// Term of the entry with the initial membership. The first leader's term is higher.
const FORMATION_TERM: u64 = 1;

/// Election timeouts without a leader after which a member asks to be admitted again.
const REJOIN_ELECTIONS: u32 = 2;

impl Node {
    /// Whether the storage has ever been part of a membership.
    pub fn is_formed(&self) -> bool {
        let (_, membership) = self.log.membership();
        !membership.voters.is_empty()
    }

    pub(super) fn greet(&mut self, now: Duration) {
        let interval = match self.membership().contains(self.member()) {
            true if self.may_be_removed(now) => self.settings.timing.election_timeout_max,
            true => return,
            false => self.settings.timing.heartbeat_interval,
        };
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + interval;
        self.greet_all();
        if !self.is_formed() && self.settings.may_form {
            self.try_to_form();
        }
    }

    /// Whether the leader may have removed this member of an open membership, which then learns
    /// it from nobody: no leader sends to it.
    fn may_be_removed(&self, now: Duration) -> bool {
        let limit = self.settings.timing.election_timeout_max * REJOIN_ELECTIONS;
        let leads = matches!(self.state, State::Leader(_));
        self.settings.open_membership && !leads && now.saturating_sub(self.leader_heard) >= limit
    }

    fn greet_all(&mut self) {
        let own = self.member().replica;
        let configured = self.settings.replicas.iter().copied();
        let members = self.membership().members().map(|m| m.replica);
        let contacts = self.contacts.iter().copied();
        let targets: BTreeSet<ReplicaId> = configured.chain(contacts).chain(members).collect();
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
        if self.is_formed() {
            if !formed {
                self.send_hello(sender.replica);
            }
            return self.admit(now, sender);
        }
        self.contacts.extend(members);
        if !self.settings.may_form {
            return;
        }
        if let Some(proposal) = &formation {
            self.consider(proposal);
        }
        let greeting = Greeting {
            sender,
            formation,
            formed,
        };
        self.greetings.insert(sender.replica, greeting);
        self.try_to_form();
    }

    /// Accepts a proposal if it is acceptable.
    fn consider(&mut self, proposal: &Formation) {
        let accepted = self.hard_state.formation.as_ref();
        let newer = accepted.is_none_or(|f| proposal.ballot > f.ballot);
        let mut replicas = self.settings.replicas.clone();
        replicas.sort_unstable();
        let named = proposal.voters.iter().map(|v| v.replica);
        let configured = named.eq(replicas);
        if newer && configured && proposal.voters.contains(&self.member()) {
            self.accept(Formation {
                complete: false,
                ..proposal.clone()
            });
        }
    }

    fn accept(&mut self, formation: Formation) {
        self.hard_state.formation = Some(formation);
        self.hard_state_changed = true;
        self.greet_all();
    }

    /// Completes the accepted proposal, or makes one.
    fn try_to_form(&mut self) {
        let own = self.member();
        let proposes = self.settings.replicas.iter().min() == Some(&own.replica);
        let others = self.settings.replicas.iter().filter(|r| **r != own.replica);
        let known = others.filter_map(|r| self.greetings.get(r));
        let mut voters: Vec<_> = known.map(|g| g.sender).chain([own]).collect();
        voters.sort_unstable();
        let all = voters.len() == self.settings.replicas.len();
        let accepted = self.hard_state.formation.as_ref();
        match accepted.and_then(|accepted| self.completion(accepted)) {
            Some(complete) => {
                self.hard_state.formation = Some(complete);
                self.hard_state.term = self.hard_state.term.max(FORMATION_TERM);
                self.hard_state_changed = true;
                self.finish_forming();
                self.greet_all();
            }
            None if proposes && all && accepted.is_none_or(|f| f.voters != voters) => {
                let unformed = self.greetings.values().all(|g| !g.formed);
                let seen = self.greetings.values().filter_map(|g| g.formation.as_ref());
                let highest = seen.chain(accepted).map(|f| f.ballot).max();
                if unformed {
                    self.accept(Formation {
                        ballot: highest.unwrap_or(0) + 1,
                        voters,
                        complete: false,
                    });
                    self.try_to_form();
                }
            }
            _ => {}
        }
    }

    /// The proposal that is known to be complete, if any: the accepted one, or an earlier one.
    fn completion(&self, accepted: &Formation) -> Option<Formation> {
        let own = self.member();
        let proof = self.greetings.values().find(|g| g.proves(own, accepted));
        let mut voters = accepted.voters.iter();
        let all_accept = voters.all(|voter| {
            let greeting = self.greetings.get(&voter.replica);
            *voter == own || greeting.is_some_and(|g| g.accepts(*voter, accepted))
        });
        let complete = Formation {
            complete: true,
            ..accepted.clone()
        };
        proof
            .and_then(|g| g.formation.clone())
            .or(all_accept.then_some(complete))
    }

    /// Starts the log with the initial membership; also after a stop in between.
    pub(super) fn finish_forming(&mut self) {
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

    /// Notes that the accepted proposal was completed, when the log of a leader starts with it.
    /// Voters that have missed the completion then learn it from this node as well.
    pub(super) fn recognize_formation(&mut self, entry: &Entry) {
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

impl Greeting {
    /// Whether the sender knows that the accepted proposal is complete, or that it never will be
    /// because an earlier one is: a sender that is named in the accepted one never accepts it then.
    fn proves(&self, own: Member, accepted: &Formation) -> bool {
        self.formation.as_ref().is_some_and(|f| {
            let excluded = f.ballot < accepted.ballot
                && f.voters.contains(&own)
                && accepted.voters.contains(&self.sender);
            f.complete && (f.is_same(accepted) || excluded)
        })
    }

    /// Whether the voter has accepted the proposal and may still start with it.
    fn accepts(&self, voter: Member, accepted: &Formation) -> bool {
        let formation = self.formation.as_ref();
        self.sender == voter
            && formation.is_some_and(|f| f.is_same(accepted) && (f.complete || !self.formed))
    }
}

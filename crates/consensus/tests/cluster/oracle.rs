use mangospindle_consensus::{Entry, Member, Node, Payload, ProposalError, ProposalId, Snapshot};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Clocks run at rates from 0.995 to 1.005, so that two of them differ by the stated drift bound.
const DRIFT: f64 = 0.01;

/// What must hold whatever happens. Every check panics with what was seen.
#[derive(Default)]
pub struct Oracle {
    leaders: BTreeMap<u64, Member>,
    /// Committed entries with the time of their first commit.
    pub committed: Vec<(Entry, Duration)>,
    digests: Vec<u64>,
    pub accepted: BTreeSet<ProposalId>,
    never_logged: BTreeSet<ProposalId>,
}

impl Oracle {
    pub fn check_leader(&mut self, node: &Node) {
        let first = *self.leaders.entry(node.term()).or_insert(node.member());
        assert_eq!(first, node.member(), "two leaders in term {}", node.term());
    }

    /// Returns whether this is the first commit of the position.
    pub fn check_commit(&mut self, entry: &Entry, now: Duration) -> bool {
        let position = entry.index as usize - 1;
        if let Some((known, _)) = self.committed.get(position) {
            assert_eq!(known, entry, "a commit changed");
            return false;
        }
        assert_eq!(position, self.committed.len(), "a gap before a commit");
        if let Payload::Command(command) = &entry.payload {
            let id = id_of(command);
            assert!(!self.never_logged.contains(&id), "{id:?} was refused");
        }
        self.committed.push((entry.clone(), now));
        self.digests.push(self.digest(entry.index));
        true
    }

    /// State of the state machine after a position: a digest over all entries so far.
    pub fn digest(&self, index: u64) -> u64 {
        let Some(position) = index.checked_sub(1) else {
            return 0;
        };
        if let Some(digest) = self.digests.get(position as usize) {
            return *digest;
        }
        let entry = format!("{:?}", self.committed[position as usize].0);
        let before = self.digest(index - 1);
        entry.bytes().fold(before, |digest, byte| {
            digest.rotate_left(5).wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
        })
    }

    pub fn check_snapshot(&self, snapshot: &Snapshot) {
        let expected = self.digest(snapshot.index).to_le_bytes();
        assert_eq!(snapshot.data, expected, "a snapshot has another state");
    }

    pub fn check_accepted(&mut self, id: ProposalId, index: u64) {
        match &self.committed[index as usize - 1].0.payload {
            Payload::Command(command) => assert_eq!(id_of(command), id, "another command"),
            payload => assert!(matches!(payload, Payload::Membership(_)), "no command"),
        }
        assert!(self.accepted.insert(id), "{id:?} was accepted twice");
    }

    pub fn check_failed(&mut self, id: ProposalId, error: ProposalError) {
        assert!(!self.accepted.contains(&id), "{id:?} was accepted before");
        if error != ProposalError::Unknown {
            self.never_logged.insert(id);
        }
    }

    /// The age must not be below the time for which the node has lacked a committed entry.
    pub fn check_age(&self, node: &Node, local: Duration, now: Duration) {
        let missing = self.committed.get(node.commit_index() as usize);
        if let (Some(age), Some((_, since))) = (node.confirmed_age(local), missing) {
            let truth = now.saturating_sub(*since).as_secs_f64();
            let least = truth * (1.0 - DRIFT) - 0.001;
            let (reported, member) = (age.as_secs_f64(), node.member());
            assert!(
                reported >= least,
                "{member:?}: age {reported}, truth {truth}"
            );
        }
    }
}

pub fn id_of(command: &[u8]) -> ProposalId {
    let bytes = command[..8].try_into().expect("commands start with an id");
    ProposalId(u64::from_le_bytes(bytes))
}

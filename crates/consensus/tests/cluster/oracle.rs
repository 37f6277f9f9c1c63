use mangospindle_consensus::{Entry, Member, Node, Payload, ProposalError, ProposalId, Snapshot};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Bound on the relative drift of two clocks. Simulated clocks run at rates from 0.995 to 1.005.
const MAX_RELATIVE_DRIFT: f64 = 0.01;

/// Invariants that must hold under all faults. Each check panics with the observed violation.
#[derive(Default)]
pub struct Oracle {
    leaders: BTreeMap<u64, Member>,
    /// Committed entries, each with the time of its first commit.
    pub committed: Vec<(Entry, Duration)>,
    digests: Vec<u64>,
    pub committed_proposals: BTreeSet<ProposalId>,
    rejected: BTreeSet<ProposalId>,
}

impl Oracle {
    /// Checks that a term has only one leader.
    pub fn check_leader(&mut self, node: &Node) {
        let first = *self.leaders.entry(node.term()).or_insert(node.member());
        assert_eq!(first, node.member(), "two leaders in term {}", node.term());
    }

    /// Checks that all nodes commit the same entries without gaps. Returns whether this is the
    /// first commit at the index.
    pub fn check_commit(&mut self, entry: &Entry, now: Duration) -> bool {
        let position = entry.index as usize - 1;
        if let Some((known, _)) = self.committed.get(position) {
            assert_eq!(known, entry, "committed entry differs between nodes");
            return false;
        }
        assert_eq!(
            position,
            self.committed.len(),
            "committed entries have a gap"
        );
        if let Payload::Command(command) = &entry.payload {
            let id = proposal_id(command);
            assert!(
                !self.rejected.contains(&id),
                "{id:?} was committed after it was rejected"
            );
        }
        self.committed.push((entry.clone(), now));
        self.digests.push(self.digest(entry.index));
        true
    }

    /// Returns the state of the state machine at an index, which is a digest over all entries up to
    /// it.
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
        assert_eq!(
            snapshot.data, expected,
            "snapshot does not match the committed entries"
        );
    }

    pub fn check_proposal_committed(&mut self, id: ProposalId, index: u64) {
        match &self.committed[index as usize - 1].0.payload {
            Payload::Command(command) => assert_eq!(
                proposal_id(command),
                id,
                "another command is committed at the index"
            ),
            payload => assert!(
                matches!(payload, Payload::Membership(_)),
                "neither a command nor a membership is committed at the index"
            ),
        }
        assert!(
            self.committed_proposals.insert(id),
            "{id:?} was reported as committed twice"
        );
    }

    pub fn check_proposal_failed(&mut self, id: ProposalId, error: ProposalError) {
        assert!(
            !self.committed_proposals.contains(&id),
            "{id:?} failed after it was reported as committed"
        );
        if error != ProposalError::Unknown {
            self.rejected.insert(id);
        }
    }

    /// Checks that the confirmed age is not below the time for which the node has lacked a
    /// committed entry.
    pub fn check_age(&self, node: &Node, local_now: Duration, now: Duration) {
        let missing = self.committed.get(node.commit_index() as usize);
        if let (Some(age), Some((_, since))) = (node.confirmed_age(local_now), missing) {
            let actual = now.saturating_sub(*since).as_secs_f64();
            let lower_bound = actual * (1.0 - MAX_RELATIVE_DRIFT) - 0.001;
            let (reported, member) = (age.as_secs_f64(), node.member());
            assert!(
                reported >= lower_bound,
                "{member:?}: confirmed age {reported} s is below the actual age {actual} s"
            );
        }
    }
}

pub fn proposal_id(command: &[u8]) -> ProposalId {
    let bytes = command[..8]
        .try_into()
        .expect("a command should start with its proposal id");
    ProposalId(u64::from_le_bytes(bytes))
}

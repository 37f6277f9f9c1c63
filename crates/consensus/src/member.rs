use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Number of a control replica, from its settings or its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u32);

/// Random identifier of a data directory, generated when the directory is created. A replica that
/// returns with an empty disk has a new identifier, so it cannot vote under its old identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StorageId(pub Uuid);

/// A replica together with the data directory that holds its votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub replica: ReplicaId,
    /// Its data directory.
    pub storage: StorageId,
}

/// The voters, and the learners that only receive the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and count towards majorities.
    pub voters: Vec<Member>,
    /// Members that receive the log but neither vote nor count towards majorities.
    pub learners: Vec<Member>,
}

impl Membership {
    /// Returns whether the member is a voter.
    pub fn is_voter(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// Returns whether the member is a voter or a learner.
    pub fn contains(&self, member: Member) -> bool {
        self.is_voter(member) || self.learners.contains(&member)
    }

    /// Returns an iterator over the voters and then the learners.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `next` may follow this membership in one step. At most one voter may be
    /// added or removed, so that any majority of one shares a voter with any majority of the other.
    /// Learners do not count towards majorities and may change freely.
    pub fn can_change_to(&self, next: &Membership) -> bool {
        let added = next.voters.iter().filter(|v| !self.is_voter(**v)).count();
        let removed = self.voters.iter().filter(|v| !next.is_voter(**v)).count();
        let distinct = |members: &[Member]| {
            let mut replicas: Vec<_> = members.iter().map(|m| m.replica).collect();
            replicas.sort_unstable();
            replicas.windows(2).all(|pair| pair[0] != pair[1])
        };
        !next.voters.is_empty()
            && added + removed <= 1
            && distinct(&next.voters)
            && distinct(&next.learners)
            && next.learners.iter().all(|l| !next.is_voter(*l))
            && self != next
    }
}

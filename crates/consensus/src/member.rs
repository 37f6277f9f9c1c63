use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Number of a control replica, from its settings or from its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u32);

/// Random identifier of a data directory, drawn when the directory is created. A replica that
/// returns with an empty disk has a new one, so that it cannot vote under its old identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StorageId(pub Uuid);

/// A replica together with the data directory that it voted with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub replica: ReplicaId,
    /// Its data directory.
    pub storage: StorageId,
}

/// The members that vote and count, and the learners that only receive the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote and count.
    pub voters: Vec<Member>,
    /// Members that catch up and neither vote nor count.
    pub learners: Vec<Member>,
}

impl Membership {
    /// Whether the member votes and counts.
    pub fn is_voter(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// Whether the member is a voter or a learner.
    pub fn contains(&self, member: Member) -> bool {
        self.is_voter(member) || self.learners.contains(&member)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Number of voters that is a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `next` may follow this membership in one step: at most one voter is added or
    /// removed, so that any majority of one shares a voter with any majority of the other.
    /// Learners do not count and may change freely.
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

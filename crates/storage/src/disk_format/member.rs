use mangospindle_consensus::{Member, Membership, ReplicaId, StorageId};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// On-disk form of a [`Member`].
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct StoredMember {
    replica: u32,
    storage: [u8; 16],
}

impl From<Member> for StoredMember {
    fn from(member: Member) -> Self {
        Self {
            replica: member.replica.0,
            storage: member.storage.0.into_bytes(),
        }
    }
}

impl From<StoredMember> for Member {
    fn from(member: StoredMember) -> Self {
        Self {
            replica: ReplicaId(member.replica),
            storage: StorageId(Uuid::from_bytes(member.storage)),
        }
    }
}

/// On-disk form of a [`Membership`].
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredMembership {
    voters: Vec<StoredMember>,
    learners: Vec<StoredMember>,
}

impl From<&Membership> for StoredMembership {
    fn from(membership: &Membership) -> Self {
        let to_stored = |members: &[Member]| members.iter().map(|m| (*m).into()).collect();
        Self {
            voters: to_stored(&membership.voters),
            learners: to_stored(&membership.learners),
        }
    }
}

impl From<StoredMembership> for Membership {
    fn from(membership: StoredMembership) -> Self {
        let members = |stored: Vec<StoredMember>| stored.into_iter().map(Member::from).collect();
        Self {
            voters: members(membership.voters),
            learners: members(membership.learners),
        }
    }
}

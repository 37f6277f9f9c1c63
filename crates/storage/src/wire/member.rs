use mangospindle_consensus::{Member, Membership, ReplicaId, StorageId};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct WireMember {
    replica: u32,
    storage: [u8; 16],
}

impl From<Member> for WireMember {
    fn from(member: Member) -> Self {
        Self {
            replica: member.replica.0,
            storage: member.storage.0.into_bytes(),
        }
    }
}

impl From<WireMember> for Member {
    fn from(member: WireMember) -> Self {
        Self {
            replica: ReplicaId(member.replica),
            storage: StorageId(Uuid::from_bytes(member.storage)),
        }
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) struct WireMembership {
    voters: Vec<WireMember>,
    learners: Vec<WireMember>,
}

impl From<&Membership> for WireMembership {
    fn from(membership: &Membership) -> Self {
        let wire = |members: &[Member]| members.iter().map(|m| (*m).into()).collect();
        Self {
            voters: wire(&membership.voters),
            learners: wire(&membership.learners),
        }
    }
}

impl From<WireMembership> for Membership {
    fn from(membership: WireMembership) -> Self {
        let members = |wire: Vec<WireMember>| wire.into_iter().map(Member::from).collect();
        Self {
            voters: members(membership.voters),
            learners: members(membership.learners),
        }
    }
}

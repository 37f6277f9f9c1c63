use super::WireMembership;
use crate::Corruption;
use mangospindle_consensus::Snapshot;
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
pub(crate) struct WireSnapshot {
    index: u64,
    term: u64,
    membership: WireMembership,
    data: Vec<u8>,
}

impl From<&Snapshot> for WireSnapshot {
    fn from(snapshot: &Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            membership: (&snapshot.membership).into(),
            data: snapshot.data.clone(),
        }
    }
}

impl TryFrom<WireSnapshot> for Snapshot {
    type Error = Corruption;

    fn try_from(snapshot: WireSnapshot) -> Result<Self, Corruption> {
        if snapshot.index == 0 {
            return Err(Corruption::ZeroIndex);
        }
        Ok(Self {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.into(),
            data: snapshot.data,
        })
    }
}

use super::StoredMembership;
use crate::Corruption;
use mangospindle_consensus::Snapshot;
use serde::{Deserialize, Serialize};

/// Content of a snapshot file.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredSnapshot {
    index: u64,
    term: u64,
    membership: StoredMembership,
    data: Vec<u8>,
}

impl From<&Snapshot> for StoredSnapshot {
    fn from(snapshot: &Snapshot) -> Self {
        Self {
            index: snapshot.index,
            term: snapshot.term,
            membership: (&snapshot.membership).into(),
            data: snapshot.data.clone(),
        }
    }
}

impl TryFrom<StoredSnapshot> for Snapshot {
    type Error = Corruption;

    fn try_from(snapshot: StoredSnapshot) -> Result<Self, Corruption> {
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

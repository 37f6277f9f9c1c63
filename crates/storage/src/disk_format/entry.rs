use super::StoredMembership;
use crate::Corruption;
use mangospindle_consensus::{Entry, Payload};
use serde::{Deserialize, Serialize};

/// On-disk form of an [`Entry`].
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredEntry {
    index: u64,
    term: u64,
    payload: StoredPayload,
}

#[derive(Serialize, Deserialize)]
enum StoredPayload {
    Noop,
    Command(Vec<u8>),
    Membership(StoredMembership),
}

impl From<&Entry> for StoredEntry {
    fn from(entry: &Entry) -> Self {
        Self {
            index: entry.index,
            term: entry.term,
            payload: match &entry.payload {
                Payload::Noop => StoredPayload::Noop,
                Payload::Command(command) => StoredPayload::Command(command.clone()),
                Payload::Membership(membership) => StoredPayload::Membership(membership.into()),
            },
        }
    }
}

impl TryFrom<StoredEntry> for Entry {
    type Error = Corruption;

    fn try_from(entry: StoredEntry) -> Result<Self, Corruption> {
        if entry.index == 0 {
            return Err(Corruption::ZeroIndex);
        }
        Ok(Self {
            index: entry.index,
            term: entry.term,
            payload: match entry.payload {
                StoredPayload::Noop => Payload::Noop,
                StoredPayload::Command(command) => Payload::Command(command),
                StoredPayload::Membership(membership) => Payload::Membership(membership.into()),
            },
        })
    }
}

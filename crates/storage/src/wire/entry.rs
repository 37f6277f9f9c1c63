use super::WireMembership;
use crate::Corruption;
use mangospindle_consensus::{Entry, Payload};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
pub(crate) struct WireEntry {
    index: u64,
    term: u64,
    payload: WirePayload,
}

#[derive(Serialize, Deserialize)]
enum WirePayload {
    Noop,
    Command(Vec<u8>),
    Membership(WireMembership),
}

impl From<&Entry> for WireEntry {
    fn from(entry: &Entry) -> Self {
        Self {
            index: entry.index,
            term: entry.term,
            payload: match &entry.payload {
                Payload::Noop => WirePayload::Noop,
                Payload::Command(command) => WirePayload::Command(command.clone()),
                Payload::Membership(membership) => WirePayload::Membership(membership.into()),
            },
        }
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = Corruption;

    fn try_from(entry: WireEntry) -> Result<Self, Corruption> {
        if entry.index == 0 {
            return Err(Corruption::ZeroIndex);
        }
        Ok(Self {
            index: entry.index,
            term: entry.term,
            payload: match entry.payload {
                WirePayload::Noop => Payload::Noop,
                WirePayload::Command(command) => Payload::Command(command),
                WirePayload::Membership(membership) => Payload::Membership(membership.into()),
            },
        })
    }
}

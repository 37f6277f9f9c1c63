use crate::Corruption;
use mangospindle_consensus::StorageId;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Version of everything in a data directory.
const FORMAT: u16 = 1;

#[derive(Serialize, Deserialize)]
pub(crate) struct WireIdentity {
    format: u16,
    storage: [u8; 16],
}

impl From<StorageId> for WireIdentity {
    fn from(storage: StorageId) -> Self {
        Self {
            format: FORMAT,
            storage: storage.0.into_bytes(),
        }
    }
}

impl TryFrom<WireIdentity> for StorageId {
    type Error = Corruption;

    fn try_from(identity: WireIdentity) -> Result<Self, Corruption> {
        match identity.format {
            FORMAT => Ok(Self(Uuid::from_bytes(identity.storage))),
            format => Err(Corruption::UnsupportedFormat(format)),
        }
    }
}

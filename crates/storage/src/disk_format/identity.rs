use crate::Corruption;
use mangospindle_consensus::StorageId;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Version of the format of all files in a data directory.
const FORMAT_VERSION: u16 = 1;

/// Content of the identity file: the format version and the storage identifier.
#[derive(Serialize, Deserialize)]
pub(crate) struct StoredIdentity {
    format: u16,
    storage: [u8; 16],
}

impl From<StorageId> for StoredIdentity {
    fn from(storage: StorageId) -> Self {
        Self {
            format: FORMAT_VERSION,
            storage: storage.0.into_bytes(),
        }
    }
}

impl TryFrom<StoredIdentity> for StorageId {
    type Error = Corruption;

    fn try_from(identity: StoredIdentity) -> Result<Self, Corruption> {
        match identity.format {
            FORMAT_VERSION => Ok(Self(Uuid::from_bytes(identity.storage))),
            version => Err(Corruption::UnsupportedFormat(version)),
        }
    }
}

use crate::ClaimKey;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The first 16 bytes of the SHA-256 digest of a [`ClaimKey`]. Claims are indexed by it, so
/// that a long key takes no more memory than a short one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct KeyDigest(pub(crate) [u8; 16]);

impl KeyDigest {
    pub(crate) fn of(key: &ClaimKey) -> Self {
        let mut hash = Sha256::new();
        hash.update(key.service.0.to_le_bytes());
        hash.update(&key.key);
        KeyDigest(truncate_digest(hash.finalize().into()))
    }
}

/// Truncates a SHA-256 digest to its first 16 bytes.
pub(crate) fn truncate_digest(digest: [u8; 32]) -> [u8; 16] {
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&digest[..16]);
    truncated
}

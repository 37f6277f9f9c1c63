use mangospindle_model::ServiceId;
use serde::{Deserialize, Serialize};

/// Identifier of an at-most-once action.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service that runs the action.
    pub service: ServiceId,
    /// The caller's idempotency key.
    pub key: String,
}

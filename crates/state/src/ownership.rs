use crate::Takeover;
use mangospindle_model::EntryId;
use serde::{Deserialize, Serialize};

/// Ownership of an endpoint. Only the owner may dispatch to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner; `None` while no entry can own the endpoint.
    pub owner: Option<EntryId>,
    /// Increases with each change of owner.
    pub epoch: u64,
    /// How the owner took over the endpoint.
    pub takeover: Takeover,
}

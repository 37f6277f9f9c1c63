use crate::Takeover;
use mangospindle_model::EntryId;
use serde::{Deserialize, Serialize};

/// Which entry may dispatch to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner; `None` while no entry can own the endpoint.
    pub owner: Option<EntryId>,
    /// Grows with each change of owner.
    pub epoch: u64,
    /// How the endpoint came to its owner.
    pub takeover: Takeover,
}

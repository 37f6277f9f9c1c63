use crate::Membership;
use serde::{Deserialize, Serialize};

/// The state machine's state after a position of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last position that is included.
    pub index: u64,
    /// Term of that position.
    pub term: u64,
    /// Membership at that position.
    pub membership: Membership,
    /// Encoded state.
    pub data: Vec<u8>,
}

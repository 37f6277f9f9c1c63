use crate::RegionId;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};

/// A range of client addresses that is split into blocks of equal size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientRange {
    /// The address range.
    pub net: IpNet,
    /// Prefix length of the blocks that the range is split into.
    pub block_prefix: u8,
    /// Home region of the clients in the range.
    pub region: RegionId,
}

use mangospindle_model::{FailureDomainId, RegionId};

/// Placement of a client by the client block table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientHome {
    /// Home region of the client.
    pub region: RegionId,
    /// Failure domain whose entries are listed first for the client.
    pub preferred_domain: FailureDomainId,
    /// Hash of the client's address block, used to spread clients over equally good entries.
    pub block: u64,
    /// Whether a configured client range contains the client. Other clients are placed as described
    /// at [`ClientTable::lookup`](crate::ClientTable::lookup).
    pub known: bool,
}

use mangospindle_model::{FailureDomainId, RegionId};

/// What the client block table says about a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientHome {
    /// Home region of the client.
    pub region: RegionId,
    /// Preferred site: the failure domain that serves the client first.
    pub preferred_domain: FailureDomainId,
    /// Key of the client's block, used to spread clients over equal choices.
    pub block: u64,
    /// Whether a configured client range contains the client. Unknown clients get the default that
    /// [`ClientTable::lookup`](crate::ClientTable::lookup) describes.
    pub known: bool,
}

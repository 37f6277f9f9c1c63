use crate::{Attempt, RecordedResponse};

/// State of a [`LiveClaim`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimState {
    InProgress,
    Completed(Box<RecordedResponse>),
    Unknown,
}

/// A claim that has not been reduced to the digest of its key.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LiveClaim {
    /// Digest of method, path and body.
    pub(crate) digest: [u8; 32],
    /// The attempt that the claim was granted to.
    pub(crate) attempt: Attempt,
    /// Elapsed leader time of the last change.
    pub(crate) changed_ms: u64,
    pub(crate) state: ClaimState,
}

impl LiveClaim {
    /// Size of the recorded response body, in bytes.
    pub(crate) fn body_bytes(&self) -> u64 {
        match &self.state {
            ClaimState::Completed(response) => response.body.as_ref().map_or(0, |b| b.len() as u64),
            ClaimState::InProgress | ClaimState::Unknown => 0,
        }
    }
}

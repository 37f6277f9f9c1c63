use crate::live_claim::{ClaimState, LiveClaim};
use crate::{Attempt, RecordedResponse};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
enum ClaimStateWire {
    InProgress,
    Completed(RecordedResponse),
    Unknown,
}

/// A claim in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LiveClaimWire {
    digest: [u8; 32],
    attempt: Attempt,
    changed_ms: u64,
    state: ClaimStateWire,
}

impl From<&LiveClaim> for LiveClaimWire {
    fn from(claim: &LiveClaim) -> Self {
        LiveClaimWire {
            digest: claim.digest,
            attempt: claim.attempt,
            changed_ms: claim.changed_ms,
            state: match &claim.state {
                ClaimState::InProgress => ClaimStateWire::InProgress,
                ClaimState::Completed(response) => ClaimStateWire::Completed((**response).clone()),
                ClaimState::Unknown => ClaimStateWire::Unknown,
            },
        }
    }
}

impl From<LiveClaimWire> for LiveClaim {
    fn from(wire: LiveClaimWire) -> Self {
        LiveClaim {
            digest: wire.digest,
            attempt: wire.attempt,
            changed_ms: wire.changed_ms,
            state: match wire.state {
                ClaimStateWire::InProgress => ClaimState::InProgress,
                ClaimStateWire::Completed(response) => ClaimState::Completed(Box::new(response)),
                ClaimStateWire::Unknown => ClaimState::Unknown,
            },
        }
    }
}

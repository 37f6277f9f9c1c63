use crate::live_claim::{ClaimState, LiveClaim};
use crate::{Attempt, RecordedAnswer};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
enum ClaimStateWire {
    InProgress,
    Completed(RecordedAnswer),
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
                ClaimState::Completed(answer) => ClaimStateWire::Completed((**answer).clone()),
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
                ClaimStateWire::Completed(answer) => ClaimState::Completed(Box::new(answer)),
                ClaimStateWire::Unknown => ClaimState::Unknown,
            },
        }
    }
}

use crate::RecordedResponse;
use mangospindle_model::ErrorKind;
use serde::{Deserialize, Serialize};

/// Result of applying a [`Command`](crate::Command).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; the configuration has this version.
    Done {
        /// Version of the configuration after the change.
        version: u64,
    },
    /// Refused without effect.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// Details for people.
        detail: String,
        /// The present version of the item, for a version conflict.
        current_version: Option<u64>,
    },
    /// Answer to a claim.
    Claim(ClaimOutcome),
}

/// Answer to a claim, or to a question about a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimer may send the request once.
    Granted,
    /// Another attempt holds the claim.
    InProgress,
    /// The action ran; this was its answer.
    Completed(RecordedResponse),
    /// The key was used with another request.
    BodyMismatch,
    /// The action may have run.
    Unknown,
    /// The key is not known.
    NotFound,
}

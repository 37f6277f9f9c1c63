use crate::RecordedResponse;
use mangospindle_model::ErrorKind;
use serde::{Deserialize, Serialize};

/// Result of applying a [`Command`](crate::Command).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command succeeded.
    Done {
        /// Version of the configuration after the command.
        version: u64,
    },
    /// The command was refused and had no effect.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Human-readable explanation.
        detail: String,
        /// The current version of the item, for a version conflict.
        current_version: Option<u64>,
    },
    /// Result of a claim.
    Claim(ClaimOutcome),
}

/// Result of a claim or of a lookup of its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may send the request once.
    Granted,
    /// Another attempt holds the claim.
    InProgress,
    /// The action ran and returned this response.
    Completed(RecordedResponse),
    /// The key was used with another request.
    BodyMismatch,
    /// The action may have run.
    Unknown,
    /// There is no claim of the key.
    NotFound,
}

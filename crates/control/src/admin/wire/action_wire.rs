use mangospindle_state::ClaimOutcome;
use serde::{Deserialize, Serialize};

/// State of an at-most-once action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionWire {
    /// Name of the service.
    pub service: String,
    /// The caller's idempotency key.
    pub key: String,
    /// `in_progress`, `completed` or `unknown`.
    pub state: String,
    /// HTTP status of the recorded response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_status: Option<u16>,
    /// Length of the recorded response body in bytes. Absent if the body was too large to keep.
    /// The body itself belongs to the caller of the action and is not shown to operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_bytes: Option<usize>,
}

impl ActionWire {
    /// Converts the outcome of a lookup. Returns `None` if the key is not known.
    pub fn new(service: String, key: String, outcome: &ClaimOutcome) -> Option<Self> {
        let (state, answer) = match outcome {
            ClaimOutcome::NotFound => return None,
            ClaimOutcome::Granted | ClaimOutcome::InProgress => ("in_progress", None),
            ClaimOutcome::Completed(answer) => ("completed", Some(answer)),
            ClaimOutcome::Unknown | ClaimOutcome::BodyMismatch => ("unknown", None),
        };
        Some(ActionWire {
            service,
            key,
            state: state.to_string(),
            answer_status: answer.map(|a| a.status),
            answer_bytes: answer.and_then(|a| Some(a.body.as_ref()?.len())),
        })
    }
}

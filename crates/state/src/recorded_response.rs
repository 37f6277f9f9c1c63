use serde::{Deserialize, Serialize};

/// The response of a completed at-most-once action, kept for replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header, if any.
    pub content_type: Option<String>,
    /// The body, or `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

impl RecordedResponse {
    /// Maximum size of a recorded body, in bytes. Every control replica keeps all claims in memory.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
}

use serde::{Deserialize, Serialize};

/// The answer of a completed at-most-once action, kept for replay.
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
    /// Largest body that is kept, in bytes. Claims live in the memory of every control replica.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;
}

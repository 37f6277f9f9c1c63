use std::time::Duration;

/// Bytes that the [`LinkShaper`](crate::LinkShaper) allows to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkGrant {
    /// Number of bytes that may be sent after the wait, at most one burst. Reserve the rest
    /// separately.
    pub bytes: u64,
    /// Time to wait before sending the bytes.
    pub wait: Duration,
}

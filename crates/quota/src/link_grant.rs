use std::time::Duration;

/// Answer of the [`LinkShaper`](crate::LinkShaper) to a request for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkGrant {
    /// Number of bytes that may be sent after the wait; at most one burst. Ask again for the rest.
    pub bytes: u64,
    /// How long to wait before sending them.
    pub wait: Duration,
}

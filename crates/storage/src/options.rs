/// Settings of a [`Wal`](crate::Wal).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalOptions {
    /// Size from which a new segment is started. Space is freed by whole segments.
    pub segment_bytes: u64,
}

impl Default for WalOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
        }
    }
}

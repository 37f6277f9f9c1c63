/// Settings of a [`Wal`](crate::Wal).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalOptions {
    /// Size in bytes from which a sync starts a new segment. Disk space is freed in whole segments.
    pub segment_bytes: u64,
}

impl Default for WalOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
        }
    }
}

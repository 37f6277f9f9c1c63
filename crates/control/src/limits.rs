//! Intervals and limits of a control replica.

use mangospindle_storage::RotationLimits;
use std::time::Duration;

/// Interval between ticks of the consensus node. A fifth of the heartbeat interval, so that a
/// heartbeat is delayed by at most 20%.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of applied entries after which a snapshot is taken, if their size also reaches the
/// fraction given by [`SNAPSHOT_SIZE_DIVISOR`].
pub(crate) const SNAPSHOT_MIN_ENTRIES: u64 = 160;

/// Bytes of applied entries after which a snapshot is taken, if they also reach that fraction. Bounds
/// the memory of a log of few large entries.
pub(crate) const SNAPSHOT_MIN_LOG_BYTES: u64 = 8 << 20;

/// A snapshot is taken once the size of the entries since the last snapshot reaches the size of
/// that snapshot divided by this number. Snapshots then write at most three times as many bytes as
/// the log.
pub(crate) const SNAPSHOT_SIZE_DIVISOR: u64 = 2;

/// Bytes of entries after which a snapshot is taken regardless of the other thresholds. Bounds the
/// restart time.
pub(crate) const SNAPSHOT_MAX_LOG_BYTES: u64 = 64 << 20;

/// Scale of the thresholds above, in percent, that a replica draws at random when it starts.
/// Encoding blocks a replica for 0.23 s per million claims, so the replicas should not all encode at
/// the same entry.
pub(crate) const SNAPSHOT_THRESHOLD_PERCENT: std::ops::RangeInclusive<u64> = 100..=150;

/// Log entries retained before the index of a snapshot, for followers that are slightly behind.
pub(crate) const RETAINED_LOG_ENTRIES: u64 = 128;

/// Maximum size of these entries, in bytes: what may be in flight to a follower.
pub(crate) const RETAINED_LOG_BYTES: usize = 4 << 20;

/// Maximum number of pending proposals at one leader.
pub(crate) const MAX_PENDING_PROPOSALS: usize = 8192;

/// Maximum total size of pending commands at one leader.
pub(crate) const MAX_PENDING_BYTES: usize = 64 << 20;

/// How long a query waits until a majority confirms the state. Each heartbeat round (100 ms)
/// confirms it.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of queries that wait for a confirmed state.
pub(crate) const MAX_PENDING_QUERIES: usize = 4096;

/// Interval between runs of the periodic tasks of the leader.
pub(crate) const LEADER_TASK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between `Expire` commands.
pub(crate) const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);

/// How long the leader waits for its bootstrap to be applied before it proposes it again.
pub(crate) const BOOTSTRAP_RETRY: Duration = Duration::from_secs(5);

/// How long a stopping replica waits for pending proposals.
pub(crate) const STOP_PROPOSALS_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a stopping leader waits for the transfer of its leadership, which starts after the
/// proposals are finished.
pub(crate) const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a stopping replica of an open deployment waits until the leader agrees that it leaves.
pub(crate) const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a stopping replica tells the leader again that it leaves. Long enough for a
/// reply from another region.
pub(crate) const LEAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of the encoded audit records that are exported at once, in bytes. A larger record is
/// exported alone.
pub(crate) const AUDIT_EXPORT_BYTES: usize = 1 << 20;

/// Maximum size of an exported audit record, in bytes.
pub(crate) const MAX_AUDIT_LINE_BYTES: usize = 8 << 20;

/// Limits of the exported audit files. All of them together take a quarter of a disk of 256 MiB, which
/// the log and two snapshots share.
pub(crate) const AUDIT_FILE_LIMITS: RotationLimits = RotationLimits {
    max_file_bytes: 16 << 20,
    max_total_bytes: 64 << 20,
};

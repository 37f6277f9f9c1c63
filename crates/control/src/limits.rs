//! Intervals and limits of a control replica.

use std::time::Duration;

/// Interval between ticks of the consensus node. A fifth of the heartbeat interval, so that a
/// heartbeat is at most 20% late.
pub(crate) const TICK: Duration = Duration::from_millis(20);

/// Committed entries after which a snapshot is taken, if their size also passes the share below.
pub(crate) const SNAPSHOT_ENTRIES: u64 = 160;

/// A snapshot is taken once the entries since the last one are at least the last snapshot's size
/// divided by this, so that snapshots write at most three times what the log writes.
pub(crate) const SNAPSHOT_SHARE: u64 = 2;

/// Bytes of entries after which a snapshot is taken in any case. Bounds the restart time.
pub(crate) const SNAPSHOT_LOG_BYTES: u64 = 64 << 20;

/// Share of the thresholds above, in percent, that a replica draws at its start. Encoding stops a
/// replica for 0.23 s per million claims, so that not all replicas should do it at the same entry.
pub(crate) const SNAPSHOT_PERCENT: std::ops::RangeInclusive<u64> = 100..=150;

/// Entries that stay in the log behind a snapshot, for followers that are only a little behind.
pub(crate) const KEEP_ENTRIES: u64 = 128;

/// Proposals that wait for their outcome at one leader.
pub(crate) const MAX_PENDING_PROPOSALS: usize = 8192;

/// Bytes of commands that wait for their outcome at one leader.
pub(crate) const MAX_PENDING_BYTES: usize = 64 << 20;

/// How long a question about a claim waits for a confirmation by the majority. Confirmations come
/// with every heartbeat round (100 ms).
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Questions about claims that wait for a confirmation.
pub(crate) const MAX_PENDING_QUERIES: usize = 4096;

/// Interval at which the leader checks its periodic work.
pub(crate) const LEADER_DUTIES: Duration = Duration::from_secs(1);

/// Interval between `Expire` commands.
pub(crate) const EXPIRE_INTERVAL: Duration = Duration::from_secs(60);

/// How long the leader waits for the outcome of its own bootstrap before it proposes again.
pub(crate) const BOOTSTRAP_RETRY: Duration = Duration::from_secs(5);

/// How long a stopping replica waits for proposals in progress.
pub(crate) const STOP_PROPOSALS: Duration = Duration::from_millis(1500);

/// How long a stopping leader waits for its successor after the proposals are finished.
pub(crate) const STOP_HAND_OVER: Duration = Duration::from_millis(1500);

/// Audit records that are exported in one step.
pub(crate) const AUDIT_PAGE: usize = 256;

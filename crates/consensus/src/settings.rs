use crate::{Member, ReplicaId};
use std::time::Duration;

/// Settings of a [`Node`](crate::Node).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The replica and the identifier of its data directory.
    pub member: Member,
    /// All configured replicas, this one included. They form a new cluster and receive `Hello`.
    pub replicas: Vec<ReplicaId>,
    /// Whether replicas that are not configured may join as voters.
    pub open_membership: bool,
    /// Whether this replica may take part in forming a cluster. A replica that returns with an
    /// empty disk after the first start of the system must not.
    pub may_form: bool,
    /// Intervals and limits.
    pub timing: Timing,
}

/// Intervals and limits of a [`Node`](crate::Node).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeat rounds, and between `Hello` messages.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout.
    pub election_timeout_min: Duration,
    /// Longest election timeout. A leader that no majority has answered for this long steps down.
    pub election_timeout_max: Duration,
    /// Difference between the first election timeouts of two voters that have just started. After a
    /// restart of all replicas nobody leads; the voters then ask one after the other, so that they
    /// do not split the votes. A replica that returns while one leads is kept from disturbing it by
    /// the pre-vote.
    pub initial_election_stagger: Duration,
    /// How long a member of an open membership must be silent before it can be taken for gone, so
    /// that a successor takes its place within the time that it has to catch up. A member that was
    /// only late joins anew.
    pub replacement_timeout: Duration,
    /// How long the leader waits for the answer to a snapshot before it sends the snapshot again.
    pub snapshot_retry_interval: Duration,
    /// Bytes of entries sent to a follower and not yet acknowledged. At least one entry is always
    /// in flight, whatever its size.
    pub max_in_flight_bytes: usize,
    /// Appends with entries sent to a follower and not yet acknowledged. Proposals beyond wait and
    /// share the next append.
    pub max_in_flight_appends: usize,
    /// Bytes of entries in one append. An append has at least one entry, whatever its size.
    pub max_append_bytes: usize,
    /// Entries that stay in the log behind a snapshot, so that a follower that is only a little
    /// behind needs no snapshot.
    pub retained_entries: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(500),
            election_timeout_max: Duration::from_millis(1000),
            // A pre-vote and a vote between regions take two round trips of 40 ms.
            initial_election_stagger: Duration::from_millis(90),
            replacement_timeout: Duration::from_secs(2),
            snapshot_retry_interval: Duration::from_secs(5),
            max_in_flight_bytes: 4 << 20,
            max_in_flight_appends: 32,
            max_append_bytes: 1 << 20,
            retained_entries: 1000,
        }
    }
}

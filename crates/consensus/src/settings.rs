use crate::{Member, ReplicaId};
use std::time::Duration;

/// Settings of a [`Node`](crate::Node).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// This replica and the identifier of its data directory.
    pub member: Member,
    /// All configured replicas, including this one. They form a new cluster and receive `Hello`.
    pub replicas: Vec<ReplicaId>,
    /// Whether replicas that are not configured may join as voters.
    pub open_membership: bool,
    /// Number of replicas that may be lost at once, as promised for the deployment. An open
    /// membership keeps enough voters for it. `None` if it is not known: voters that do not reply
    /// are then kept for longer, unless the membership bears as many losses without them.
    pub tolerated_losses: Option<usize>,
    /// Whether this replica may take part in forming a cluster. Must be `false` for a replica that
    /// returns with an empty disk after the first start of the system.
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
    /// Longest election timeout. A leader steps down if no majority has replied for this long.
    pub election_timeout_max: Duration,
    /// Difference between the initial election timeouts of two voters that have just started. After
    /// a restart of all replicas there is no leader. The stagger makes the voters start their
    /// elections one after another, so that they do not split the votes. The pre-vote prevents a
    /// replica that restarts alone from deposing the leader.
    pub initial_election_stagger: Duration,
    /// Time without a reply after which a member of an open membership may be replaced. It is short
    /// enough for a new replica to become a voter within the time it is given to catch up. A
    /// removed member that was only slow joins again.
    pub replacement_timeout: Duration,
    /// Time without a reply after which a voter of an open membership counts as gone permanently if
    /// the number of tolerated losses is not known. Longer than pauses and restarts usually take.
    pub expiry_timeout: Duration,
    /// How long the leader waits for the reply to a snapshot before it sends the snapshot again.
    pub snapshot_retry_interval: Duration,
    /// Maximum number of bytes of entries sent to a follower and not yet acknowledged. A larger
    /// entry is sent alone.
    pub max_in_flight_bytes: usize,
    /// Maximum number of appends with entries sent to a follower and not yet acknowledged. Further
    /// proposals wait and share the next append.
    pub max_in_flight_appends: usize,
    /// Maximum number of bytes of entries in one append. A larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Number of entries that stay in the log after they are included in a snapshot. A follower
    /// that is only slightly behind then needs no snapshot.
    pub retained_entries: u64,
    /// Maximum size of the entries that stay in the log after they are included in a snapshot, in
    /// bytes.
    pub retained_bytes: usize,
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
            expiry_timeout: Duration::from_secs(10),
            snapshot_retry_interval: Duration::from_secs(5),
            max_in_flight_bytes: 4 << 20,
            max_in_flight_appends: 32,
            max_append_bytes: 1 << 20,
            retained_entries: 1000,
            // The window of a follower, so that entries in flight are not replaced by a snapshot.
            retained_bytes: 4 << 20,
        }
    }
}

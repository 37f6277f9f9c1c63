//! Size limits and timeouts of connections.

use std::time::Duration;

/// Maximum size of a received message, in bytes. The largest regular message is a full
/// configuration.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Maximum size of an encoded command, in bytes. An append with one command must fit into a
/// message.
pub const MAX_COMMAND_BYTES: usize = 8 << 20;

/// Maximum size of a snapshot that is assembled from chunks, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 512 << 20;

/// Maximum size of a snapshot chunk, in bytes. A chunk must not delay heartbeats on a slow link:
/// 64 KiB take 2 ms at 280 Mbit/s.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 << 10;

/// Maximum time for which a replica holds a watch request before it replies.
pub const MAX_WATCH_HOLD: Duration = Duration::from_secs(1);

/// A replica counts as cut off if its state was last confirmed longer ago than this.
pub const CUT_OFF_AGE: Duration = Duration::from_secs(2);

/// Timeout for opening a connection. Allows four round trips between regions and some load.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for an exchange of views of the fleet. Exchanges are repeated every second.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time without received bytes after which a replica closes its connection to another replica, if a
/// response is outstanding. Must be below the shortest election timeout (500 ms), so that the
/// leader reaches a follower over a new connection before the follower starts an election.
pub(crate) const PEER_SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// Idle time after which a replica pings another replica. Detects a broken connection that is only
/// used in elections before it is needed.
pub(crate) const PEER_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time without received bytes after which a `ControlClient` closes its connection, if a response
/// is outstanding. A watch is answered after at most 1 s; the rest allows for the round trip and
/// for load. The state must be confirmed over a new connection before it is 2 s old.
pub(crate) const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(1400);

/// Idle time after which a server closes a connection. Clients send at least one call per second.
pub(crate) const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent connections to a server: 880 nodes on one replica, with headroom
/// for restarts.
pub(crate) const MAX_CONNECTIONS: usize = 4096;

/// Maximum number of outstanding calls with messages to one replica.
pub(crate) const MAX_PEER_CALLS_IN_FLIGHT: usize = 64;

/// Maximum size of the messages in one call to another replica, in bytes. A single larger message
/// is sent in a call of its own.
pub(crate) const PEER_BATCH_BYTES: usize = 512 << 10;

/// Maximum number of messages that are queued for another replica. Further messages are dropped;
/// the consensus protocol resends what is not acknowledged.
pub(crate) const MAX_PEER_QUEUE_MESSAGES: usize = 1024;

/// Maximum total size of the messages that are queued for another replica, in bytes.
pub(crate) const MAX_PEER_QUEUE_BYTES: usize = 32 << 20;

/// Timeout of a forwarded proposal. After it, the result of the proposal is unknown.
pub(crate) const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

//! Sizes and times that both sides of a connection agree on.

use std::time::Duration;

/// Largest message that is read, in bytes. The largest regular message is a whole configuration.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Largest encoded command, in bytes. An append with one command must fit into a message.
pub const MAX_COMMAND_BYTES: usize = 8 << 20;

/// Largest snapshot that is assembled from chunks, in bytes.
pub const MAX_SNAPSHOT_BYTES: u64 = 512 << 20;

/// Bytes of a snapshot in one message. Small enough that heartbeats between two chunks are not
/// delayed on a slow link: 64 KiB take 2 ms at 280 Mbit/s.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 << 10;

/// Longest time that a replica holds a watch open.
pub const MAX_WATCH_HOLD: Duration = Duration::from_secs(1);

/// A replica that could not confirm its state for longer than this counts as cut off.
pub const CUT_OFF_AGE: Duration = Duration::from_secs(2);

/// Time for establishing a connection, four round trips between regions and some load.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for an exchange of views of the fleet, which are repeated every second.
pub(crate) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Silence after which a replica closes its connection to another one while an answer is due.
/// Below the shortest election timeout (500 ms), so that a follower whose connection went silent
/// is reached over a new one before it asks for an election.
pub(crate) const PEER_SILENCE: Duration = Duration::from_millis(350);

/// Idle time after which a replica sends a ping to another one, so that a connection that is only
/// used in elections is known to work before it is needed.
pub(crate) const PEER_IDLE_PING: Duration = Duration::from_secs(1);

/// Silence after which an entry closes its connection. A watch is answered after 1 s at most; the
/// rest is for the round trip and for load. A new connection must be confirmed before the state is
/// 2 s old.
pub(crate) const CLIENT_SILENCE: Duration = Duration::from_millis(1400);

/// Silence after which a server closes a connection. Clients send at least one call a second.
pub(crate) const SERVER_SILENCE: Duration = Duration::from_secs(5);

/// Connections that a server serves at a time: 880 nodes on one replica, with room for restarts.
pub(crate) const MAX_CONNECTIONS: usize = 4096;

/// Calls with messages to one replica that are not answered yet.
pub(crate) const PEER_WINDOW_CALLS: usize = 64;

/// Bytes of messages in one call to another replica, unless one message is larger.
pub(crate) const PEER_CALL_BYTES: usize = 512 << 10;

/// Messages that wait for a connection to another replica; more are dropped, since the replicated
/// log sends again what is not acknowledged.
pub(crate) const PEER_QUEUE_MESSAGES: usize = 1024;

/// Bytes of messages that wait for a connection to another replica.
pub(crate) const PEER_QUEUE_BYTES: usize = 32 << 20;

/// Time that a forwarded proposal may take before its result counts as unknown.
pub(crate) const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

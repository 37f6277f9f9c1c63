//! Intervals of the exchanges between processes. Together with the polling of the platform's list they
//! decide how soon every entry knows that an endpoint is draining.

use std::time::Duration;

/// Interval at which an entry announces itself to a replica and asks for the list of endpoints.
pub const ENTRY_EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between exchanges of a replica with all other replicas.
pub const VIEW_EXCHANGE_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between exchanges of a replica whose view may still lack entries. Callers that look up entries
/// wait for its first exchange.
pub const INITIAL_VIEW_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between requests of a replica for the list of endpoints to the leader, which polls it.
/// Draining endpoints must be known everywhere within seconds, and an unchanged list costs a few
/// bytes.
pub const LIST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

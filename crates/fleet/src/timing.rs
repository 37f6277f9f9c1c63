//! Intervals of the exchanges between processes. Together with the polling of the platform's list they
//! decide how soon every entry knows that an endpoint is draining.

use std::time::Duration;

/// Interval at which an entry announces itself to a replica and asks for the list of endpoints.
pub const ENTRY_EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Interval at which an entry reports its usage of allowances.
pub const USAGE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which replicas exchange their sums of the usage. With that of the entries it decides how soon a
/// rise of demand reduces the shares everywhere.
pub const PEER_USAGE_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which an entry without usage to report asks for the totals.
pub const IDLE_USAGE_INTERVAL: Duration = Duration::from_millis(1500);

/// Interval between exchanges of a replica with all other replicas.
pub const VIEW_EXCHANGE_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between exchanges of a replica whose view may still lack entries. Callers that look up entries
/// wait for its first exchange.
pub const INITIAL_VIEW_EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between requests of a replica for the list of endpoints to the leader, which polls it.
/// Draining endpoints must be known everywhere within seconds, and an unchanged list costs a few
/// bytes.
pub const LIST_EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time for which a replica holds a request for restart reports. An entry whose reply is overdue no
/// longer takes the absence of reports for good news.
pub const REPORT_HOLD: Duration = Duration::from_millis(500);

/// Time after the start of a request for which its reply says that there are no other reports: the hold times of
/// this and the next request, a round trip between regions and some load.
pub const REPORTS_VALID_TIME: Duration = Duration::from_millis(1200);

/// Longest time since a replica was last known to be connected to a majority for which it calls its reports
/// complete.
pub const MAX_REPORTS_CONFIRMED_AGE: Duration = Duration::from_millis(800);

/// Time for which an entry or a replica collects reports before it sends them. The connections that an
/// endpoint loses at its end are noticed one after the other.
pub const REPORT_BATCH_TIME: Duration = Duration::from_millis(15);

/// Time after a replica is connected to a majority within which the others open their connections to it and
/// can pass reports on. Longer than their delay between attempts to connect, 200 ms, and a round trip
/// between regions.
pub const REPORT_LINK_TIME: Duration = Duration::from_millis(500);

/// Interval at which a replica that has started asks the others for their recent reports.
pub const REPORT_CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a replica that has started waits for the others' recent reports. Shorter than
/// [`MAX_REPORTS_CONFIRMED_AGE`], so that a silent replica does not look like a freeze of this one.
pub const REPORT_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);

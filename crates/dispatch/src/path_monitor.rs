use crate::EndpointKey;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time without any response of an endpoint, while a request waits for one, after which the paths
/// are probed.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Timeouts of a probe while endpoints are silent and while they respond. If they respond, the loss of
/// all paths is unlikely, and a crowded link may delay the probe.
const PROBE_TIMEOUTS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1000));

/// Number of endpoints whose connections failed to open, since one was opened, after which the
/// paths are probed.
const MAX_FAILED_ENDPOINTS: usize = 3;

/// Interval between two rounds of probes while the paths are lost or connections fail.
const FAILED_ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum interval between two rounds of probes if the earlier one found a path. Long requests can
/// make all endpoints silent for a while.
const GOOD_ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum number of endpoints in a round that can show the loss of all paths. The failure of a
/// single endpoint looks the same from here.
const MIN_PROBES: usize = 2;

/// Time after the return of the paths during which no callers are directed to the entry. Paths that
/// come and go would otherwise make callers come and go.
const RETURN_DELAY: Duration = Duration::from_secs(1);

/// Result of one round of probes: attempts to open connections to endpoints in different failure
/// domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRound {
    /// Endpoints that were probed.
    pub probed: usize,
    /// Endpoints that accepted a connection.
    pub opened: usize,
}

/// Change that a round of probes found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// No path to any endpoint is left.
    Lost,
    /// A path works again after the loss of all paths.
    Restored {
        /// When the loss was noticed.
        lost_at: Duration,
    },
}

/// Decides whether this entry has lost its network paths to all endpoints.
///
/// Failed and missing responses only give rise to a suspicion, because endpoints fail and requests
/// take long for many reasons. A round of probes to endpoints in different failure domains
/// confirms or refutes it.
#[derive(Clone, Debug, Default)]
pub struct PathMonitor {
    /// Endpoints to which connections failed to open since the last one was opened.
    failed: BTreeSet<EndpointKey>,
    last_response_at: Duration,
    next_round_at: Duration,
    lost_at: Option<Duration>,
    restored_at: Option<Duration>,
}

impl PathMonitor {
    /// Records that a connection to an endpoint was opened.
    pub fn record_connected(&mut self) {
        self.failed.clear();
    }

    /// Records a failure to open a connection to an endpoint.
    pub fn record_connect_failure(&mut self, endpoint: EndpointKey) {
        self.failed.insert(endpoint);
    }

    /// Records a response of any endpoint.
    pub fn record_response(&mut self, now: Duration) {
        self.last_response_at = now;
    }

    /// Whether a round of probes is due. `waiting_since` is when the oldest request that waits for
    /// a response was sent, if there is one.
    pub fn is_round_due(&self, now: Duration, waiting_since: Option<Duration>) -> bool {
        let silent = self.is_silent(now)
            && waiting_since.is_some_and(|since| now.saturating_sub(since) >= MAX_SILENCE);
        let suspected = silent || self.failed.len() >= MAX_FAILED_ENDPOINTS;
        now >= self.next_round_at && (self.are_lost() || suspected)
    }

    /// Timeout of the probes of a round that starts now.
    pub fn probe_timeout(&self, now: Duration) -> Duration {
        match self.is_silent(now) {
            true => PROBE_TIMEOUTS.0,
            false => PROBE_TIMEOUTS.1,
        }
    }

    fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_response_at) >= MAX_SILENCE
    }

    /// Records the result of a round of probes.
    pub fn record_round(&mut self, now: Duration, round: ProbeRound) -> Option<PathChange> {
        self.next_round_at = match round.opened {
            0 => now + FAILED_ROUND_INTERVAL,
            _ => now + GOOD_ROUND_INTERVAL,
        };
        match (round, self.lost_at) {
            (ProbeRound { probed, opened: 0 }, None) if probed >= MIN_PROBES => {
                self.lost_at = Some(now);
                Some(PathChange::Lost)
            }
            (ProbeRound { opened: 0, .. }, _) => None,
            (_, lost_at) => {
                self.failed.clear();
                self.lost_at = None;
                let lost_at = lost_at?;
                self.restored_at = Some(now);
                Some(PathChange::Restored { lost_at })
            }
        }
    }

    /// Whether no path to any endpoint is left.
    pub fn are_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether callers should be directed to this entry.
    pub fn accepts_callers(&self, now: Duration) -> bool {
        let returning = (self.restored_at).is_some_and(|at| now < at + RETURN_DELAY);
        !self.are_lost() && !returning
    }
}

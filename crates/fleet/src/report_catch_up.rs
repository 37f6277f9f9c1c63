use crate::restart_reports::RETENTION;
use crate::timing::{MAX_REPORTS_CONFIRMED_AGE, REPORT_LINK_TIME};
use crate::{ExchangeError, ReportReply};
use std::time::Duration;

/// Whether a process of a replica is its first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStart {
    /// The replica had no data on its disk.
    First,
    /// The replica ran before, and may have held reports that it has lost.
    Restart,
}

/// Answer of another replica that was asked for its recent reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpAnswer {
    /// It holds all recent reports.
    Complete,
    /// It may lack reports.
    Incomplete,
    /// There was no answer in time, or the replica is of a build without reports.
    Missing,
}

impl From<Option<&Result<ReportReply, ExchangeError>>> for CatchUpAnswer {
    fn from(reply: Option<&Result<ReportReply, ExchangeError>>) -> Self {
        match reply {
            Some(Ok(reply)) if reply.complete => CatchUpAnswer::Complete,
            Some(Ok(_)) => CatchUpAnswer::Incomplete,
            Some(Err(_)) | None => CatchUpAnswer::Missing,
        }
    }
}

/// Decides when a replica that has started holds all recent reports.
///
/// Reports are kept in memory only. A replica has caught up when another one that holds all reports has
/// answered it, or when the reports that it missed have expired. On the first start of a group no replica
/// holds any; there it is enough that all others have answered.
#[derive(Clone, Debug)]
pub struct ReportCatchUp {
    start: ReplicaStart,
    observed_at: Option<Duration>,
    connected_since: Option<Duration>,
    caught_up: bool,
}

impl ReportCatchUp {
    /// Creates the state of a process that has just started.
    pub fn new(start: ReplicaStart) -> Self {
        ReportCatchUp {
            start,
            observed_at: None,
            connected_since: None,
            caught_up: false,
        }
    }

    /// Whether the replica has caught up since its start.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Records for how long the replica may have been cut off from a majority; `None` if it was never connected.
    /// A time without observations counts as cut off, because the process was frozen.
    pub fn observe(&mut self, now: Duration, confirmed_age: Option<Duration>) {
        let is_connected = confirmed_age.is_some_and(|age| age <= MAX_REPORTS_CONFIRMED_AGE);
        let last = self.observed_at.replace(now);
        let was_frozen = last.is_some_and(|at| now.saturating_sub(at) > MAX_REPORTS_CONFIRMED_AGE);
        self.connected_since = match self.connected_since {
            _ if !is_connected => None,
            Some(since) if !was_frozen => Some(since),
            Some(_) | None => Some(now),
        };
        self.caught_up |= self.has_links(now.saturating_sub(RETENTION));
    }

    /// Records the answers of all other replicas to requests sent at `requested_at`.
    pub fn record_answers(&mut self, requested_at: Duration, answers: &[CatchUpAnswer]) {
        let knows_all = match self.start {
            _ if answers.contains(&CatchUpAnswer::Complete) => true,
            ReplicaStart::First => answers.iter().all(|a| *a == CatchUpAnswer::Incomplete),
            ReplicaStart::Restart => false,
        };
        self.caught_up |= knows_all && self.has_links(requested_at);
    }

    /// Whether the others could pass reports on to this replica at a time and ever since. Reports from before
    /// are only known from the others' answers.
    fn has_links(&self, at: Duration) -> bool {
        (self.connected_since).is_some_and(|since| at >= since + REPORT_LINK_TIME)
    }
}

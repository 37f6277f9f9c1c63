use std::time::Duration;

/// Shortest interval between two polls of the list by one replica. A new leader polls at once.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Fraction of the platform's call rate that one polling replica uses. Two replicas may poll at the
/// same time while leadership changes.
const POLLER_RATE_FRACTION: f64 = 0.45;

/// Longest interval between two polls, for a list of any size.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Age of the list at which the first replica that is not the leader polls the platform itself.
/// Longer than the age of a list that arrives from the leader.
const STALE_LIST_AGE: Duration = Duration::from_millis(2200);

/// Additional age at which each further replica polls. The list of the one before it arrives within
/// this time, so that replicas do not all poll at once when the leader is lost.
const TAKEOVER_STEP: Duration = Duration::from_millis(800);

/// Position of a replica among those that may poll the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRole {
    /// The replica that normally polls.
    Leader,
    /// A replica that polls if no recent list arrives, after as many others as its rank.
    Follower {
        /// Number of reachable replicas that poll earlier.
        rank: usize,
    },
}

/// Decides when a replica polls the platform's list of endpoints.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// All failure domains of the deployment.
    failure_domains: Vec<String>,
    /// Calls per second that the platform accepts from all processes together.
    max_rate: f64,
    /// Calls that the last poll needed; `None` before the first.
    calls: Option<u32>,
    interval: Duration,
    last_poll: Option<Duration>,
    was_leader: bool,
}

impl PollSchedule {
    /// Creates a schedule. The platform accepts `max_rate` calls per second from all processes
    /// together; `failure_domains` are all those that endpoints can be in, or none if they are not
    /// known.
    pub fn new(failure_domains: Vec<String>, max_rate: f64) -> Self {
        PollSchedule {
            failure_domains,
            max_rate,
            calls: None,
            interval: MIN_POLL_INTERVAL,
            last_poll: None,
            was_leader: false,
        }
    }

    /// Whether the replica should poll now. `list_age` is the age of the list that it has, if it has
    /// one.
    pub fn is_due(&mut self, now: Duration, role: PollRole, list_age: Option<Duration>) -> bool {
        let is_leader = role == PollRole::Leader;
        let was_leader = std::mem::replace(&mut self.was_leader, is_leader);
        let newly_elected = is_leader && !was_leader;
        let max_age = match role {
            PollRole::Leader => Duration::ZERO,
            PollRole::Follower { rank } => STALE_LIST_AGE + TAKEOVER_STEP * rank as u32,
        };
        let stale = list_age.is_none_or(|age| age >= max_age);
        let rested = self.last_poll.is_none_or(|at| now >= at + self.interval);
        let due = newly_elected || (stale && rested);
        if due {
            self.last_poll = Some(now);
        }
        due
    }

    /// Failure domains to read side by side. Empty if the list should be read in one go, because it
    /// has no more pages than there are failure domains.
    pub fn domains_to_read(&self) -> Vec<String> {
        let domains = self.failure_domains.len();
        match self.calls {
            Some(calls) if calls as usize <= domains => Vec::new(),
            // A list of unknown length may have many pages.
            Some(_) | None => self.failure_domains.clone(),
        }
    }

    /// Sets the interval after a poll that needed `calls` calls.
    pub fn record_calls(&mut self, calls: u32) {
        self.calls = Some(calls);
        self.interval = list_poll_interval(calls, self.max_rate);
    }
}

/// Returns the interval between two polls that need `calls` calls each. `max_rate` is the number of
/// calls per second that the platform accepts from all processes together; a polling replica stays
/// within its fraction of that rate, unless the longest interval is reached.
pub fn list_poll_interval(calls: u32, max_rate: f64) -> Duration {
    let poller_rate = (max_rate * POLLER_RATE_FRACTION).max(f64::MIN_POSITIVE);
    let min_interval = Duration::try_from_secs_f64(f64::from(calls) / poller_rate);
    MIN_POLL_INTERVAL.max(
        min_interval
            .unwrap_or(MAX_POLL_INTERVAL)
            .min(MAX_POLL_INTERVAL),
    )
}

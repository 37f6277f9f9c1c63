use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Time for which a report is kept for entries that have just started or lost their replica. Longer than a
/// cold start.
pub(crate) const RETENTION: Duration = Duration::from_secs(10);

/// Time after a report of an endpoint within which a further one tells nothing new. The connections that an
/// endpoint loses at its end are noticed by many entries at about the same time.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of reports that are kept. Covers the loss of a region of a large deployment.
const MAX_REPORTS: usize = 4096;

/// Maximum number of reports that are taken from one request. Bounds the work that a request causes.
const MAX_REPORTS_PER_REQUEST: usize = 1024;

/// Maximum length of a reported instance identifier, in bytes.
const MAX_INSTANCE_BYTES: usize = 256;

/// Position in the reports of one process of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReportPosition {
    /// Random number that tells the process from others.
    pub view: u64,
    /// Number of reports that it has recorded.
    pub count: u64,
}

#[derive(Clone, Debug)]
struct Report {
    number: u64,
    instance: String,
    at: Duration,
}

impl Report {
    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) >= RETENTION
    }
}

/// Endpoints to which entries lost connections lately, so that they may have restarted.
///
/// An endpoint may restart with its instance identifier. The platform's list shows that seconds later, and
/// an entry without a connection to it has no other sign.
#[derive(Clone, Debug)]
pub struct RestartReports {
    position: ReportPosition,
    recent: VecDeque<Report>,
}

impl RestartReports {
    /// Creates an empty collection. `view` is a random number that tells it apart from others.
    pub fn new(view: u64) -> Self {
        RestartReports {
            position: ReportPosition { view, count: 0 },
            recent: VecDeque::new(),
        }
    }

    /// Records the reports of a request and returns those that tell something new.
    pub fn record<I>(&mut self, now: Duration, instances: I) -> Vec<String>
    where
        I: IntoIterator<Item = String>,
    {
        self.expire(now);
        let mut new = Vec::new();
        for instance in instances.into_iter().take(MAX_REPORTS_PER_REQUEST) {
            if instance.len() > MAX_INSTANCE_BYTES || self.is_repeated(now, &instance) {
                continue;
            }
            new.push(instance.clone());
            self.push(now, instance);
        }
        new
    }

    /// Records the recent reports that another replica holds. They are kept as if they were made now, which
    /// is too long by their age. Instances with a recent report are left out; otherwise replicas that fetch
    /// from each other would renew their reports.
    pub fn merge<I>(&mut self, now: Duration, instances: I)
    where
        I: IntoIterator<Item = String>,
    {
        self.expire(now);
        let mut known: BTreeSet<String> = self.recent.iter().map(|r| r.instance.clone()).collect();
        for instance in instances.into_iter().take(MAX_REPORTS) {
            if instance.len() <= MAX_INSTANCE_BYTES && known.insert(instance.clone()) {
                self.push(now, instance);
            }
        }
    }

    fn push(&mut self, now: Duration, instance: String) {
        self.position.count += 1;
        self.recent.push_back(Report {
            number: self.position.count,
            instance,
            at: now,
        });
        if self.recent.len() > MAX_REPORTS {
            self.recent.pop_front();
        }
    }

    /// The position after the latest report.
    pub fn position(&self) -> ReportPosition {
        self.position
    }

    /// Instances that were reported after `known`, or all recent ones if that is a position in the reports
    /// of another process.
    pub fn since(&self, now: Duration, known: Option<ReportPosition>) -> Vec<String> {
        let known = known.filter(|k| k.view == self.position.view);
        let after = known.map_or(0, |k| k.count);
        let newer = (self.recent.iter()).filter(|r| r.number > after && !r.is_expired(now));
        newer.map(|r| r.instance.clone()).collect()
    }

    fn is_repeated(&self, now: Duration, instance: &str) -> bool {
        let latest = self.recent.iter().rev();
        let mut latest = latest.take_while(|r| now.saturating_sub(r.at) < REPEAT_INTERVAL);
        latest.any(|r| r.instance == instance)
    }

    fn expire(&mut self, now: Duration) {
        while (self.recent.front()).is_some_and(|r| r.is_expired(now)) {
            self.recent.pop_front();
        }
    }
}

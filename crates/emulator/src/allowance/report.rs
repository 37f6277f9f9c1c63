use mangospindle_model::Allowance;
use std::time::Duration;

/// Window over which an allowance is checked.
const WINDOW: Duration = Duration::from_secs(5);

/// A request that an entry rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// When.
    pub at: Duration,
    /// What the caller was told.
    pub retry_after: Duration,
    /// Whether one token bucket for the whole deployment held a token during all of the last second.
    pub within_allowance: bool,
}

/// Results of a workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceReport {
    /// Its allowances, each with the time from which all entries had it.
    pub allowances: Vec<(Duration, Allowance)>,
    /// When requests that ran were admitted.
    pub runs: Vec<Duration>,
    /// Rejected requests.
    pub rejections: Vec<Rejection>,
}

impl WorkspaceReport {
    /// Rejections of requests within the allowance from `start` on.
    pub fn wrong_rejections(&self, start: Duration) -> impl Iterator<Item = &Rejection> {
        let rejections = self.rejections.iter();
        rejections.filter(move |r| r.within_allowance && r.at >= start)
    }

    /// Requests that ran between two times.
    pub fn runs_between(&self, start: Duration, end: Duration) -> usize {
        let runs = self.runs.iter();
        runs.filter(|at| **at >= start && **at < end).count()
    }

    /// Largest number of runs in a window of 5 s as a multiple of the bound R7, and the end of the window.
    pub fn worst_window(&self) -> (f64, Duration) {
        let mut runs = self.runs.clone();
        runs.sort_unstable();
        let mut first = 0;
        let mut worst = (0.0, Duration::ZERO);
        for (last, at) in runs.iter().enumerate() {
            while runs[first] + WINDOW <= *at {
                first += 1;
            }
            let fraction = (last + 1 - first) as f64 / self.bound(*at);
            if fraction > worst.0 {
                worst = (fraction, *at);
            }
        }
        worst
    }

    /// Bound R7 for the window that ends at `end`: that of the largest allowance that was in force.
    fn bound(&self, end: Duration) -> f64 {
        let replaced_at = |n: usize| self.allowances.get(n + 1).map(|(at, _)| *at);
        let in_force = self.allowances.iter().enumerate().filter(|(n, (at, _))| {
            *at <= end && replaced_at(*n).is_none_or(|replaced| replaced + WINDOW > end)
        });
        let bounds = in_force.map(|(_, (_, a))| (a.rate * 5.0 + a.burst) * 1.1 + 20.0);
        bounds.fold(0.0, f64::max)
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllowanceReport {
    /// Results of the workspaces.
    pub workspaces: Vec<WorkspaceReport>,
    /// Mean size of the messages that an entry sent and received, in bytes per second.
    pub bytes_per_second_entry: f64,
    /// Mean size of the messages that a replica sent and received, in bytes per second.
    pub bytes_per_second_replica: f64,
}

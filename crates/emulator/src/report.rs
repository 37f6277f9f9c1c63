use std::fmt;
use std::time::Duration;

/// Results of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Number of requests, without retries by callers.
    pub offered: u32,
    /// Requests answered within the target latency.
    pub within_target: u32,
    /// Requests answered after the target latency but before the deadline.
    pub late: u32,
    /// Requests refused for good, after at most one retry by the caller.
    pub refused: u32,
    /// Requests without a response before the deadline.
    pub timed_out: u32,
    /// Requests that failed because their endpoint had stopped.
    pub lost: u32,
    /// Total time from submission to refusal, over all refused requests.
    pub refusal_time_total: Duration,
    /// Runs on objects outside the working set of the endpoint.
    pub working_set_misses: u32,
    /// Runs at an endpoint in another region than the caller.
    pub cross_region: u32,
}

impl ClassReport {
    /// Fraction of the requests that were answered.
    pub fn served_fraction(&self) -> f64 {
        f64::from(self.within_target + self.late) / f64::from(self.offered.max(1))
    }

    /// Fraction of the requests that were answered within the target latency.
    pub fn on_target_fraction(&self) -> f64 {
        f64::from(self.within_target) / f64::from(self.offered.max(1))
    }

    /// Mean time from submission to refusal.
    pub fn mean_refusal_time(&self) -> Duration {
        self.refusal_time_total / self.refused.max(1)
    }
}

/// Results of the callers of one region, over all classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionReport {
    /// Name of the region.
    pub name: String,
    /// Number of requests, without retries by callers.
    pub offered: u32,
    /// Requests answered within the target latency.
    pub within_target: u32,
    /// Runs on objects outside the working set of the endpoint.
    pub working_set_misses: u32,
}

impl RegionReport {
    /// Fraction of the requests that were answered within the target latency.
    pub fn on_target_fraction(&self) -> f64 {
        f64::from(self.within_target) / f64::from(self.offered.max(1))
    }

    /// Fraction of the requests that ran on an object outside the working set of their endpoint.
    pub fn miss_fraction(&self) -> f64 {
        f64::from(self.working_set_misses) / f64::from(self.offered.max(1))
    }
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Results of each class.
    pub classes: Vec<ClassReport>,
    /// Results by region of the caller, in the order of the names.
    pub regions: Vec<RegionReport>,
    /// Largest number of requests that a cold endpoint received in one second.
    pub cold_peak_per_second: u32,
    /// Requests that reached a draining or evacuated endpoint after entries must have been told of
    /// its state.
    pub sent_to_leaving: u32,
    /// Sends to endpoints beyond the first of each request.
    pub retries: u32,
    /// Largest fraction of the requests of a region that moved to other regions between two
    /// consecutive windows of 2 s.
    pub largest_region_shift: f64,
    /// Fraction of the requests answered within the target latency, for each second in which
    /// callers submitted requests.
    pub on_target_fraction_by_second: Vec<f64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in &self.classes {
            writeln!(
                f,
                "{:<18} asked {:>6}  on target {:.3}  served {:.3}  refused {:>5}  timed out {:>5}  \
                 lost {:>4}  unknown {:>5}  remote {:>5}",
                c.name,
                c.offered,
                c.on_target_fraction(),
                c.served_fraction(),
                c.refused,
                c.timed_out,
                c.lost,
                c.working_set_misses,
                c.cross_region
            )?;
        }
        for r in &self.regions {
            writeln!(
                f,
                "{:<18} asked {:>6}  on target {:.3}  unknown {:.3}",
                r.name,
                r.offered,
                r.on_target_fraction(),
                r.miss_fraction(),
            )?;
        }
        write!(
            f,
            "cold peak {}, misplaced {}, repeats {}, largest shift {:.3}",
            self.cold_peak_per_second,
            self.sent_to_leaving,
            self.retries,
            self.largest_region_shift
        )
    }
}

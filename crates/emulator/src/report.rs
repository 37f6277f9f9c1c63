use std::fmt;
use std::time::Duration;

/// What the callers of one class got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Requests, returns after a refusal not counted.
    pub asked: u32,
    /// Answered within the target latency.
    pub in_target: u32,
    /// Answered later, within the deadline.
    pub late: u32,
    /// Refused, after one return.
    pub refused: u32,
    /// Without an answer in time.
    pub timed_out: u32,
    /// Lost with an endpoint.
    pub lost: u32,
    /// Sum of the time that refused callers had waited.
    pub refused_after: Duration,
    /// Runs on objects that the endpoint did not know.
    pub unknown_runs: u32,
    /// Requests whose endpoint is in another region.
    pub remote: u32,
}

impl ClassReport {
    /// Share of the requests that were answered.
    pub fn served(&self) -> f64 {
        f64::from(self.in_target + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of the requests that were answered within the target latency.
    pub fn on_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.asked.max(1))
    }

    /// Mean time until a refusal.
    pub fn mean_refusal(&self) -> Duration {
        self.refused_after / self.refused.max(1)
    }
}

/// What happened in a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Most requests that a cold endpoint got in one second.
    pub cold_peak: u32,
    /// Requests that reached an endpoint after entries could know that it is draining or evacuated.
    pub misplaced: u32,
    /// Arrivals at endpoints beyond the first of each request.
    pub repeats: u32,
    /// Largest change of the regions in which the requests of a region run, between two windows of
    /// 2 s.
    pub largest_shift: f64,
    /// Answered within the target latency, by second.
    pub on_target_by_second: Vec<f64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in &self.classes {
            writeln!(
                f,
                "{:<18} asked {:>6}  on target {:.3}  served {:.3}  refused {:>5}  timed out {:>5}  \
                 lost {:>4}  unknown {:>5}  remote {:>5}",
                c.name,
                c.asked,
                c.on_target(),
                c.served(),
                c.refused,
                c.timed_out,
                c.lost,
                c.unknown_runs,
                c.remote
            )?;
        }
        write!(
            f,
            "cold peak {}, misplaced {}, repeats {}, largest shift {:.3}",
            self.cold_peak, self.misplaced, self.repeats, self.largest_shift
        )
    }
}

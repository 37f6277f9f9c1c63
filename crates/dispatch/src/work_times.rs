use std::time::Duration;

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Assumed times before the first sample. The true ones are learned within a few answers.
const FIRST_KNOWN: Duration = Duration::from_millis(120);
const FIRST_UNKNOWN: Duration = Duration::from_millis(300);

/// Usual time that the endpoints of a service work on a request, without waiting.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkTimes {
    known: f64,
    unknown: f64,
    mean: f64,
}

impl Default for WorkTimes {
    fn default() -> Self {
        WorkTimes {
            known: FIRST_KNOWN.as_secs_f64(),
            unknown: FIRST_UNKNOWN.as_secs_f64(),
            mean: FIRST_UNKNOWN.as_secs_f64(),
        }
    }
}

impl WorkTimes {
    /// Records the time of an answer that waited behind `queue` times the slots.
    pub(crate) fn record(&mut self, known_object: bool, queue: f64, elapsed: Duration) {
        let work = elapsed.as_secs_f64() / (1.0 + queue);
        self.mean += SAMPLE_WEIGHT * (work - self.mean);
        let time = match known_object {
            true => &mut self.known,
            false => &mut self.unknown,
        };
        *time += SAMPLE_WEIGHT * (work - *time);
    }

    /// Mean time of all requests in seconds.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Expected time in seconds, on an object that the endpoint knows or not.
    pub(crate) fn expected(&self, known_object: bool) -> f64 {
        match known_object {
            true => self.known.min(self.unknown),
            false => self.unknown,
        }
    }
}

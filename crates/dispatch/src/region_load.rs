use crate::LoadReading;

/// Number of readings in the moving average, and before which the load counts as unknown. The first responses
/// of all are those of endpoints that had nothing else to do.
const AVERAGED_READINGS: u32 = 20;

/// Load per slot that responses of endpoints in this entry's region report for a service.
///
/// An entry of a large deployment hears of each endpoint too rarely to add up their loads. The mean of the
/// latest readings is what its requests met, however many endpoints there are.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionLoadEstimate {
    average: f64,
    /// Number of readings, up to [`AVERAGED_READINGS`].
    readings: u32,
}

impl RegionLoadEstimate {
    /// Records the load that an endpoint of this region reported.
    pub(crate) fn record(&mut self, reading: LoadReading) {
        let in_progress = f64::from(reading.running) + f64::from(reading.waiting);
        let load_ratio = in_progress / f64::from(reading.slots.max(1));
        self.readings = (self.readings + 1).min(AVERAGED_READINGS);
        self.average += (load_ratio - self.average) / f64::from(self.readings);
    }

    /// Requests in progress per slot; `None` if there were too few readings.
    pub(crate) fn load_ratio(&self) -> Option<f64> {
        (self.readings >= AVERAGED_READINGS).then_some(self.average)
    }
}

use std::time::Duration;

/// Observations of an entry by this process, independent of the service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryHealth {
    round_trip_s: Option<f64>,
    consecutive_timeouts: u32,
}

impl EntryHealth {
    /// Number of consecutive probes and attempts without a response after which an entry is
    /// unresponsive. Single losses are common, three losses in a row are not.
    const UNRESPONSIVE_AFTER: u32 = 3;
    /// Weight of a new round-trip time in the moving average.
    const SMOOTHING_FACTOR: f64 = 0.2;

    /// Whether the entry has stopped responding.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.consecutive_timeouts >= Self::UNRESPONSIVE_AFTER
    }

    /// Moving average of the round-trip time in seconds.
    pub(super) fn round_trip_s(&self) -> Option<f64> {
        self.round_trip_s
    }

    /// Records the result of a probe: its round-trip time, or `None` if it was not answered.
    pub(super) fn record_probe(&mut self, round_trip: Option<Duration>) {
        match round_trip.map(|d| d.as_secs_f64()) {
            Some(sample) => {
                self.round_trip_s = Some(match self.round_trip_s {
                    Some(mean) => mean + Self::SMOOTHING_FACTOR * (sample - mean),
                    None => sample,
                });
                self.record_response();
            }
            None => self.record_timeout(),
        }
    }

    /// Records a response to an attempt or probe.
    pub(super) fn record_response(&mut self) {
        self.consecutive_timeouts = 0;
    }

    /// Records an attempt or probe without a response.
    pub(super) fn record_timeout(&mut self) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
    }
}

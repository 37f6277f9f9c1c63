use std::time::Duration;

/// Own observations of an entry, independent of the service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EntryHealth {
    round_trip_s: Option<f64>,
    silent: u32,
}

impl EntryHealth {
    /// Consecutive probes and attempts without an answer after which an entry is unresponsive. One
    /// loss is common; three in a row are not.
    const UNRESPONSIVE_AFTER: u32 = 3;
    /// Weight of a new round-trip time.
    const ALPHA: f64 = 0.2;

    /// Whether the entry has stopped answering.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.silent >= Self::UNRESPONSIVE_AFTER
    }

    /// Moving average of the round-trip time in seconds.
    pub(super) fn round_trip_s(&self) -> Option<f64> {
        self.round_trip_s
    }

    /// Records a probe.
    pub(super) fn probed(&mut self, round_trip: Option<Duration>) {
        match round_trip.map(|d| d.as_secs_f64()) {
            Some(sample) => {
                self.round_trip_s = Some(match self.round_trip_s {
                    Some(mean) => mean + Self::ALPHA * (sample - mean),
                    None => sample,
                });
                self.answered();
            }
            None => self.unanswered(),
        }
    }

    /// Records any sign of life.
    pub(super) fn answered(&mut self) {
        self.silent = 0;
    }

    /// Records an attempt or probe without an answer.
    pub(super) fn unanswered(&mut self) {
        self.silent = self.silent.saturating_add(1);
    }
}

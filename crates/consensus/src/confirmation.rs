use std::time::Duration;

/// A past time on this node's clock: `initial_age` before `observed_at`. It may lie before the
/// start of the clock.
#[derive(Clone, Copy, Debug)]
struct PastInstant {
    observed_at: Duration,
    initial_age: Duration,
}

impl PastInstant {
    fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.observed_at)
            .saturating_add(self.initial_age)
    }
}

/// The latest time up to which this node is known to have every committed entry.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    latest: Option<PastInstant>,
    /// A time that is confirmed once the commit index reaches the given index. It is not replaced
    /// by later ones, because under load the commit index would never catch up with them.
    pending: Option<(u64, PastInstant)>,
}

impl Confirmation {
    /// Records that everything committed up to `initial_age` before `observed_at` is at or below
    /// `required_index`. `committed` is this node's commit index.
    pub(crate) fn record(
        &mut self,
        required_index: u64,
        observed_at: Duration,
        initial_age: Duration,
        committed: u64,
    ) {
        let instant = PastInstant {
            observed_at,
            initial_age,
        };
        if required_index <= committed {
            self.update_latest(instant);
        } else {
            self.pending.get_or_insert((required_index, instant));
        }
    }

    /// Confirms the pending time once the commit index has reached its index.
    pub(crate) fn on_commit(&mut self, committed: u64) {
        if let Some((_, instant)) = self.pending.take_if(|(index, _)| *index <= committed) {
            self.update_latest(instant);
        }
    }

    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.latest.map(|instant| instant.age(now))
    }

    fn update_latest(&mut self, instant: PastInstant) {
        let now = self.latest.map_or(instant.observed_at, |latest| {
            latest.observed_at.max(instant.observed_at)
        });
        if self
            .latest
            .is_none_or(|latest| instant.age(now) < latest.age(now))
        {
            self.latest = Some(instant);
        }
    }
}

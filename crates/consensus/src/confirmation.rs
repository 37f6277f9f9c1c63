use std::time::Duration;

/// A moment on this node's clock, `before` a time that it measured itself. The moment may lie
/// before the start of the clock.
#[derive(Clone, Copy, Debug)]
struct Moment {
    measured: Duration,
    before: Duration,
}

impl Moment {
    fn age(self, now: Duration) -> Duration {
        now.saturating_sub(self.measured)
            .saturating_add(self.before)
    }
}

/// The latest moment for which this node knows that it has every entry that was committed by then.
#[derive(Debug, Default)]
pub(crate) struct Confirmation {
    known: Option<Moment>,
    /// A moment that is known once the commit position reaches the given one. It is not replaced
    /// by later ones, because under load these would be out of reach as well.
    pending: Option<(u64, Moment)>,
}

impl Confirmation {
    /// Everything that was committed `before` the time `measured` is at or below `position`.
    pub(crate) fn learn(
        &mut self,
        position: u64,
        measured: Duration,
        before: Duration,
        committed: u64,
    ) {
        let moment = Moment { measured, before };
        if position <= committed {
            self.adopt(moment);
        } else {
            self.pending.get_or_insert((position, moment));
        }
    }

    /// The commit position has changed.
    pub(crate) fn committed(&mut self, committed: u64) {
        if let Some((_, moment)) = self.pending.take_if(|(index, _)| *index <= committed) {
            self.adopt(moment);
        }
    }

    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.known.map(|moment| moment.age(now))
    }

    fn adopt(&mut self, moment: Moment) {
        let now = self
            .known
            .map_or(moment.measured, |known| known.measured.max(moment.measured));
        if self
            .known
            .is_none_or(|known| moment.age(now) < known.age(now))
        {
            self.known = Some(moment);
        }
    }
}

use crate::TargetStats;
use mangospindle_model::{EntryId, RegionId};
use rand::Rng;
use std::time::Duration;

/// Reported free slots of an owner.
#[derive(Clone, Copy, Debug)]
struct FreeReport {
    at: Duration,
    free: u32,
    in_flight: u32,
}

/// An owner as a candidate for requests of one service.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    pub(super) entry: EntryId,
    pub(super) region: RegionId,
    /// Slots of the owner's endpoints of the service.
    pub(super) slots: u32,
    /// Share of these slots that are on endpoints about to leave.
    pub(super) leaving_share: f64,
    pub(super) stats: TargetStats,
    report: Option<FreeReport>,
    refusals: u32,
    full_until: Duration,
    cross_region_full_until: Duration,
}

impl Owner {
    /// How long a report of free slots counts.
    const REPORT_AGE: Duration = Duration::from_secs(2);
    /// How long an owner is passed over after its first refusal; doubles with each further one.
    const BACK_OFF: Duration = Duration::from_millis(20);
    /// Largest number of doublings of [`Self::BACK_OFF`].
    const MAX_DOUBLINGS: u32 = 4;

    pub(super) fn new(entry: EntryId, region: RegionId, now: Duration) -> Self {
        Owner {
            entry,
            region,
            slots: 0,
            leaving_share: 0.0,
            stats: TargetStats::new(now),
            report: None,
            refusals: 0,
            full_until: Duration::ZERO,
            cross_region_full_until: Duration::ZERO,
        }
    }

    /// Whether the owner refused for lack of capacity a moment ago.
    pub(super) fn is_full(&self, now: Duration, home: RegionId) -> bool {
        now < self.full_until || (home != self.region && now < self.cross_region_full_until)
    }

    /// Share of the slots that are in use: the larger of own attempts and a fresh report, because
    /// a report can miss work that was sent after it.
    pub(super) fn busy(&self, now: Duration) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own = f64::from(self.stats.in_flight()) / slots;
        let reported = match self.report {
            Some(r) if now.saturating_sub(r.at) <= Self::REPORT_AGE => {
                let since = self.stats.in_flight().saturating_sub(r.in_flight);
                1.0 - (f64::from(r.free) - f64::from(since)) / slots
            }
            _ => 0.0,
        };
        own.max(reported).clamp(0.0, 1.0)
    }

    pub(super) fn report_free(&mut self, now: Duration, free: u32) {
        self.report = Some(FreeReport {
            at: now,
            free: free.min(self.slots),
            in_flight: self.stats.in_flight(),
        });
    }

    /// Passes the owner over for a jittered time that grows with consecutive refusals.
    pub(super) fn back_off<R>(&mut self, now: Duration, cross_region_only: bool, rng: &mut R)
    where
        R: Rng,
    {
        let base = Self::BACK_OFF * (1 << self.refusals.min(Self::MAX_DOUBLINGS));
        let until = now + base.mul_f64(rng.random_range(0.5..1.5));
        self.refusals = self.refusals.saturating_add(1);
        match cross_region_only {
            true => self.cross_region_full_until = until,
            false => self.full_until = until,
        }
    }

    pub(super) fn accepted(&mut self) {
        self.refusals = 0;
        self.full_until = Duration::ZERO;
    }
}

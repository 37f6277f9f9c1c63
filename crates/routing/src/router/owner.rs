use crate::TargetStats;
use mangospindle_model::{EntryId, RegionId};
use rand::Rng;
use std::time::Duration;

/// Free slots reported by an owner, and the attempts of this process in flight at that time.
#[derive(Clone, Copy, Debug)]
struct FreeSlotsReport {
    at: Duration,
    free: u32,
    in_flight: u32,
}

/// An owner of endpoints of one service, as a candidate for requests of that service.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    pub(super) entry: EntryId,
    pub(super) region: RegionId,
    /// Number of slots on the owner's endpoints of the service, without drained endpoints.
    pub(super) slots: u32,
    /// Fraction of the owner's slots that are on drained endpoints. It is 1 if the entry is
    /// leaving.
    pub(super) leaving_fraction: f64,
    pub(super) stats: TargetStats,
    free_slots_report: Option<FreeSlotsReport>,
    consecutive_refusals: u32,
    backoff_until: Duration,
    cross_region_backoff_until: Duration,
}

impl Owner {
    /// Maximum age of a report of free slots that is taken into account.
    const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
    /// Mean backoff after the first refusal of an owner. It doubles with each further refusal.
    const BASE_BACKOFF: Duration = Duration::from_millis(20);
    /// Maximum number of doublings of [`Self::BASE_BACKOFF`].
    const MAX_BACKOFF_DOUBLINGS: u32 = 4;

    pub(super) fn new(entry: EntryId, region: RegionId, now: Duration) -> Self {
        Owner {
            entry,
            region,
            slots: 0,
            leaving_fraction: 0.0,
            stats: TargetStats::new(now),
            free_slots_report: None,
            consecutive_refusals: 0,
            backoff_until: Duration::ZERO,
            cross_region_backoff_until: Duration::ZERO,
        }
    }

    /// Whether the owner is in backoff for clients of the region `home`.
    pub(super) fn is_backed_off(&self, now: Duration, home: RegionId) -> bool {
        now < self.backoff_until || (home != self.region && now < self.cross_region_backoff_until)
    }

    /// Fraction of the slots that are in use: the larger of the values derived from the attempts of
    /// this process in flight and from a recent report. A report alone can miss work that was sent
    /// after it.
    pub(super) fn utilization(&self, now: Duration) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let observed = f64::from(self.stats.in_flight()) / slots;
        let reported = match self.free_slots_report {
            Some(r) if now.saturating_sub(r.at) <= Self::MAX_REPORT_AGE => {
                let sent_since = self.stats.in_flight().saturating_sub(r.in_flight);
                1.0 - (f64::from(r.free) - f64::from(sent_since)) / slots
            }
            _ => 0.0,
        };
        observed.max(reported).clamp(0.0, 1.0)
    }

    pub(super) fn record_free_slots(&mut self, now: Duration, free: u32) {
        self.free_slots_report = Some(FreeSlotsReport {
            at: now,
            free: free.min(self.slots),
            in_flight: self.stats.in_flight(),
        });
    }

    /// Starts a backoff for a jittered time that grows with consecutive refusals. With
    /// `cross_region_only`, it applies only to clients of other regions.
    pub(super) fn start_backoff<R>(&mut self, now: Duration, cross_region_only: bool, rng: &mut R)
    where
        R: Rng,
    {
        let base =
            Self::BASE_BACKOFF * (1 << self.consecutive_refusals.min(Self::MAX_BACKOFF_DOUBLINGS));
        let until = now + base.mul_f64(rng.random_range(0.5..1.5));
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        match cross_region_only {
            true => self.cross_region_backoff_until = until,
            false => self.backoff_until = until,
        }
    }

    pub(super) fn record_accepted(&mut self) {
        self.consecutive_refusals = 0;
        self.backoff_until = Duration::ZERO;
    }
}

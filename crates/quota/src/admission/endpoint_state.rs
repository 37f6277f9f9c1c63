use mangospindle_model::{EndpointId, ServiceId};
use mangospindle_routing::TargetStats;
use std::time::Duration;

/// The owner's view of one endpoint of its region.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) id: EndpointId,
    pub(super) service: ServiceId,
    pub(super) slots: u32,
    pub(super) max_connections: u32,
    /// Epoch of the own ownership.
    pub(super) owned: Option<u64>,
    /// End of the quarantine.
    pub(super) usable_from: Duration,
    /// When the endpoint's share of the region limit counts.
    pub(super) share_from: Duration,
    /// When the endpoint's share of the cross-region limit counts.
    pub(super) cross_from: Duration,
    pub(super) in_flight: u32,
    pub(super) connections: u32,
    pub(super) stats: TargetStats,
    pub(super) load: f32,
    pub(super) unanswered: u32,
    pub(super) answered_at: Option<Duration>,
    pub(super) leaving_by_health: bool,
    pub(super) leaving_by_vm_list: bool,
    pub(super) leaving_by_operator: bool,
    /// Another entry is the preferred owner.
    pub(super) preferred_elsewhere: bool,
    /// Drained because another entry is the preferred owner.
    pub(super) rehoming: bool,
    /// The release was reported; the ownership is no longer usable.
    pub(super) released: bool,
    /// The idle connections were asked to be closed before the release.
    pub(super) closing: bool,
    pub(super) drain_started: Option<Duration>,
    /// Time from the start of the drain until no request was in progress.
    pub(super) drained_in: Option<Duration>,
}

impl EndpointState {
    /// Consecutive unanswered health checks after which an endpoint is suspect.
    const SUSPECT_AFTER: u32 = 3;
    /// An own answer within this time outweighs unanswered health checks.
    const OWN_ANSWER_COUNTS: Duration = Duration::from_secs(2);

    pub(super) fn new(
        id: EndpointId,
        service: ServiceId,
        slots: u32,
        max_connections: u32,
        now: Duration,
    ) -> Self {
        EndpointState {
            id,
            service,
            slots,
            max_connections,
            owned: None,
            usable_from: Duration::ZERO,
            share_from: Duration::ZERO,
            cross_from: Duration::ZERO,
            in_flight: 0,
            connections: 0,
            stats: TargetStats::new(now),
            load: 0.0,
            unanswered: 0,
            answered_at: None,
            leaving_by_health: false,
            leaving_by_vm_list: false,
            leaving_by_operator: false,
            preferred_elsewhere: false,
            rehoming: false,
            released: false,
            closing: false,
            drain_started: None,
            drained_in: None,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_by_health || self.leaving_by_vm_list || self.leaving_by_operator
    }

    /// Whether the endpoint is on the way to another owner.
    pub(super) fn is_going(&self) -> bool {
        self.rehoming || self.released
    }

    /// Ends the way to another owner.
    pub(super) fn stay(&mut self) {
        self.rehoming = false;
        self.released = false;
        self.closing = false;
    }

    /// Whether all waits after the takeover are over.
    pub(super) fn is_settled(&self, now: Duration) -> bool {
        now >= self.usable_from && now >= self.share_from && now >= self.cross_from
    }

    /// Whether new requests may be sent to the endpoint, apart from slots.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        self.owned.is_some() && now >= self.usable_from && !self.is_leaving() && !self.is_going()
    }

    /// Whether health checks fail and no own answer contradicts them.
    pub(super) fn is_suspect(&self, now: Duration) -> bool {
        let answered = self
            .answered_at
            .is_some_and(|t| now < t + Self::OWN_ANSWER_COUNTS);
        self.unanswered >= Self::SUSPECT_AFTER && !answered
    }

    /// Slots that slow start allows, relative to the most ramped up endpoint of the service.
    pub(super) fn ramped_slots(&self, now: Duration, best_ramp: f64) -> u32 {
        let share = (self.stats.slow_start_fraction(now)
            / best_ramp.max(TargetStats::MIN_SLOW_START_FRACTION))
        .min(1.0);
        ((f64::from(self.slots) * share).ceil() as u32).min(self.slots)
    }
}

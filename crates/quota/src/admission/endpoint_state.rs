use mangospindle_model::{EndpointId, ServiceId};
use mangospindle_routing::TargetStats;
use std::time::Duration;

/// State of one endpoint of the own region, owned or not.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) id: EndpointId,
    pub(super) service: ServiceId,
    pub(super) slots: u32,
    pub(super) max_connections: u32,
    /// Epoch of this entry's ownership; `None` if another entry owns the endpoint.
    pub(super) owned_epoch: Option<u64>,
    /// End of the quarantine after a takeover.
    pub(super) usable_from: Duration,
    /// Time from which the endpoint's share of the region limit counts.
    pub(super) region_share_from: Duration,
    /// Time from which the endpoint's shares of the cross-region limits count.
    pub(super) cross_region_share_from: Duration,
    pub(super) in_flight: u32,
    pub(super) connections: u32,
    pub(super) stats: TargetStats,
    /// Load that the endpoint reported last, from 0 (idle) to 1 (full).
    pub(super) load: f32,
    /// Consecutive health checks without an answer.
    pub(super) unanswered_checks: u32,
    /// Time of the last complete answer to a request.
    pub(super) last_answer_at: Option<Duration>,
    pub(super) leaving_by_health: bool,
    pub(super) leaving_by_vm_list: bool,
    pub(super) leaving_by_operator: bool,
    /// Whether another entry is the preferred owner.
    pub(super) preferred_elsewhere: bool,
    /// Whether the handover to the preferred owner has started. New requests go to other endpoints.
    pub(super) handover_started: bool,
    /// Whether the release was reported. The ownership is no longer usable then.
    pub(super) released: bool,
    /// Whether the process was told to close the idle connections before the release.
    pub(super) close_requested: bool,
    pub(super) drain_started: Option<Duration>,
    /// Time from the start of the drain until the endpoint became idle.
    pub(super) drained_in: Option<Duration>,
}

impl EndpointState {
    /// Number of consecutive unanswered health checks after which an endpoint is suspect.
    const SUSPECT_THRESHOLD: u32 = 3;
    /// How long a complete answer to a request outweighs unanswered health checks.
    const ANSWER_VALIDITY: Duration = Duration::from_secs(2);

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
            owned_epoch: None,
            usable_from: Duration::ZERO,
            region_share_from: Duration::ZERO,
            cross_region_share_from: Duration::ZERO,
            in_flight: 0,
            connections: 0,
            stats: TargetStats::new(now),
            load: 0.0,
            unanswered_checks: 0,
            last_answer_at: None,
            leaving_by_health: false,
            leaving_by_vm_list: false,
            leaving_by_operator: false,
            preferred_elsewhere: false,
            handover_started: false,
            released: false,
            close_requested: false,
            drain_started: None,
            drained_in: None,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_by_health || self.leaving_by_vm_list || self.leaving_by_operator
    }

    /// Whether the endpoint is being handed over to its preferred owner.
    pub(super) fn is_in_handover(&self) -> bool {
        self.handover_started || self.released
    }

    /// Cancels a handover that has started.
    pub(super) fn cancel_handover(&mut self) {
        self.handover_started = false;
        self.released = false;
        self.close_requested = false;
    }

    /// Whether the quarantine and both hold times after the takeover are over.
    pub(super) fn takeover_complete(&self, now: Duration) -> bool {
        now >= self.usable_from
            && now >= self.region_share_from
            && now >= self.cross_region_share_from
    }

    /// Whether new requests may be sent to the endpoint, free slots aside.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        self.owned_epoch.is_some()
            && now >= self.usable_from
            && !self.is_leaving()
            && !self.is_in_handover()
    }

    /// Whether health checks fail and no recent answer to a request contradicts them.
    pub(super) fn is_suspect(&self, now: Duration) -> bool {
        let recently_answered = self
            .last_answer_at
            .is_some_and(|t| now < t + Self::ANSWER_VALIDITY);
        self.unanswered_checks >= Self::SUSPECT_THRESHOLD && !recently_answered
    }

    /// Slots that slow start allows. An endpoint whose slow start fraction reaches
    /// `max_slow_start_fraction`, the highest of the service's endpoints, may use all its slots.
    pub(super) fn slow_start_slots(&self, now: Duration, max_slow_start_fraction: f64) -> u32 {
        let relative_fraction = (self.stats.slow_start_fraction(now)
            / max_slow_start_fraction.max(TargetStats::MIN_SLOW_START_FRACTION))
        .min(1.0);
        ((f64::from(self.slots) * relative_fraction).ceil() as u32).min(self.slots)
    }
}

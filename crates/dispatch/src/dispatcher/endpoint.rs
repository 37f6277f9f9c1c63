use crate::entry_rate_limiter::EntryRateLimiter;
use crate::health_check::HealthCheckState;
use crate::load_estimate::LoadEstimate;
use crate::working_set::WorkingSet;
use mangospindle_fleet::{EndpointRecord, EndpointState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of consecutive failures after which an endpoint is ejected: it receives no requests for a
/// while.
const EJECTION_THRESHOLD: u32 = 2;

/// Minimum and maximum ejection time.
const EJECTION_TIME_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(4));

/// Time for which an endpoint that is about to stop gets no request. The list shows its end earlier;
/// one that is still listed by then stays in use.
const LEAVING_TIME: Duration = Duration::from_secs(30);

/// Time for which an endpoint gets no request after another one has responded at its address. The list
/// shows its end earlier; one that is still listed by then may have started again at its address.
const REASSIGNED_TIME: Duration = Duration::from_secs(30);

/// Time by which the list may date a cold start too late, because its content lags behind.
const MAX_LIST_LAG: Duration = Duration::from_secs(3);

/// Longest time for which an endpoint is left alone at its own request.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Time after a cold start within which a list that reports its end tells nothing new. Longer than a
/// list reports it.
const KNOWN_COLD_START_TIME: Duration = Duration::from_secs(5);

/// Longest cold time that an endpoint is believed. A longer one is malformed, and would end its use.
const MAX_TOLD_COLD_TIME: Duration = Duration::from_secs(3600);

/// Weight of a new sample in the moving average of the failure ratio.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;

/// State that an entry keeps for an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: String,
    pub(crate) slots: u32,
    pub(crate) state: EndpointState,
    /// Until when another endpoint is assumed to listen at the address.
    reassigned_until: Duration,
    /// End of the latest known cold start; `None` if the endpoint was never cold.
    cold_until: Option<Duration>,
    /// Time after the end of a cold start during which this entry still treats the endpoint as
    /// cold.
    cold_margin: Duration,
    pub(crate) cold_limiter: EntryRateLimiter,
    /// Limits the requests on connections that may lead to a process that has restarted unnoticed.
    pub(crate) unchecked_limiter: EntryRateLimiter,
    /// Requests per second that the endpoint takes from all entries together, if its latest response
    /// named a limit.
    rate_limit: Option<f64>,
    pub(crate) rate_limiter: EntryRateLimiter,
    pub(crate) load: LoadEstimate,
    pub(crate) working_set: WorkingSet,
    /// Moving average of the fraction of requests that failed, or were rejected although the
    /// endpoint reported no queued requests.
    pub(crate) failure_ratio: f64,
    consecutive_failures: u32,
    ejected_until: Duration,
    /// Until when the endpoint wants no request from this entry.
    backoff_until: Duration,
    /// Until when the endpoint counts as leaving, as its responses said that it is about to stop.
    leaving_until: Duration,
    /// Whether a connection attempt failed since the last successful response.
    unreachable: bool,
    /// When a connection was lost last, unless a health check or a cold start has told since whether
    /// the endpoint is cold.
    restart_suspected_at: Option<Duration>,
    /// When this entry or another one lost a connection to the endpoint last, unless a health check or a
    /// response of a process past its cold start has followed.
    restart_reported_at: Option<Duration>,
    pub(crate) health_check: HealthCheckState,
}

impl Endpoint {
    pub(crate) fn new(record: &EndpointRecord, now: Duration, cold_margin: Duration) -> Self {
        let mut endpoint = Endpoint {
            instance: record.instance.clone(),
            service: record.service.clone(),
            address: record.address,
            failure_domain: record.failure_domain.clone(),
            slots: record.slots.max(1),
            state: record.state,
            reassigned_until: Duration::ZERO,
            cold_until: None,
            cold_margin,
            cold_limiter: EntryRateLimiter::default(),
            unchecked_limiter: EntryRateLimiter::default(),
            rate_limit: None,
            rate_limiter: EntryRateLimiter::default(),
            load: LoadEstimate::default(),
            working_set: WorkingSet::default(),
            failure_ratio: 0.0,
            consecutive_failures: 0,
            ejected_until: Duration::ZERO,
            backoff_until: Duration::ZERO,
            leaving_until: Duration::ZERO,
            unreachable: false,
            restart_suspected_at: None,
            restart_reported_at: None,
            health_check: HealthCheckState::default(),
        };
        if !record.cold_for.is_zero() {
            endpoint.mark_cold(now, record.cold_for);
        }
        endpoint
    }

    /// Whether the record names the service and the address of the endpoint.
    pub(crate) fn is_at_place_of(&self, record: &EndpointRecord) -> bool {
        self.address == record.address && self.service == record.service
    }

    /// Whether the record is that of the lifetime of which this is the state. An endpoint that was
    /// draining and is ready has started again.
    pub(crate) fn is_same_lifetime(&self, record: &EndpointRecord) -> bool {
        let stopped = self.state == EndpointState::Draining && record.state == EndpointState::Ready;
        !stopped && self.is_at_place_of(record)
    }

    /// State of a later lifetime of the endpoint, which knows nothing of what it said before. A cold
    /// start of which this entry knows, or which it suspects, may be that of the later lifetime.
    pub(crate) fn next_lifetime(
        &self,
        now: Duration,
        record: &EndpointRecord,
        cold_start: Duration,
    ) -> Self {
        let mut next = Endpoint {
            cold_until: self.cold_until,
            cold_limiter: self.cold_limiter,
            restart_suspected_at: self.restart_suspected_at,
            restart_reported_at: Some(now),
            ..Endpoint::new(record, now, self.cold_margin)
        };
        next.update(now, record, cold_start);
        next
    }

    /// Applies the current record of the endpoint. `cold_start` is the duration of its cold starts.
    pub(crate) fn update(&mut self, now: Duration, record: &EndpointRecord, cold_start: Duration) {
        self.state = record.state;
        self.slots = record.slots.max(1);
        match record.cold_for {
            Duration::ZERO => {}
            _ if record.cold_start_has_ended() && self.was_cold_lately(now) => {}
            cold_for if record.cold_start_has_ended() => self.mark_cold(now, cold_for),
            cold_for => {
                self.mark_cold(now, cold_for);
                let cold_since = cold_start.saturating_sub(cold_for);
                self.record_listed_start(now.saturating_sub(cold_since));
            }
        }
    }

    /// Whether the endpoint may receive requests, regardless of ejection.
    pub(crate) fn is_eligible(&self, evacuated: &BTreeSet<String>) -> bool {
        self.state == EndpointState::Ready && !evacuated.contains(&self.failure_domain)
    }

    /// Whether the endpoint is eligible, not ejected and accepts requests of this entry.
    pub(crate) fn is_usable(&self, now: Duration, evacuated: &BTreeSet<String>) -> bool {
        let unusable_until = [
            self.ejected_until,
            self.backoff_until,
            self.leaving_until,
            self.reassigned_until,
        ];
        self.is_eligible(evacuated) && unusable_until.iter().all(|until| now >= *until)
    }

    /// Records that the endpoint is about to stop.
    pub(crate) fn record_leaving(&mut self, now: Duration) {
        self.leaving_until = now + LEAVING_TIME;
    }

    /// Records a cold start that the list reports to have begun at `began_at`. If the endpoint is listed
    /// as ready although it said before that it is about to stop, it has started again since.
    fn record_listed_start(&mut self, began_at: Duration) {
        let said_at = self.leaving_until.saturating_sub(LEAVING_TIME);
        if self.state == EndpointState::Ready && began_at >= said_at + MAX_LIST_LAG {
            self.leaving_until = Duration::ZERO;
        }
    }

    /// Records that another endpoint listens at the address.
    pub(crate) fn record_reassigned(&mut self, now: Duration) {
        self.reassigned_until = now + REASSIGNED_TIME;
    }

    /// Records that the endpoint wants no request from this entry for a while.
    pub(crate) fn back_off(&mut self, now: Duration, delay: Duration) {
        let until = now + delay.min(MAX_BACKOFF);
        self.backoff_until = self.backoff_until.max(until);
    }

    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        (self.cold_until).is_some_and(|until| now < until + self.cold_margin)
    }

    /// Whether this entry knows of a cold start that has not ended, or has ended lately.
    fn was_cold_lately(&self, now: Duration) -> bool {
        (self.cold_until).is_some_and(|until| now < until + KNOWN_COLD_START_TIME)
    }

    /// Whether a request may be sent as far as failures are concerned. An endpoint that was ejected
    /// gets one request at a time; a non-idempotent one only after a health check, which is
    /// requested here.
    pub(crate) fn may_send(&mut self, idempotent: bool) -> bool {
        let idle = self.load.own_in_progress() == 0;
        match self.health_check {
            _ if !self.needs_probe() => true,
            _ if idempotent => idle,
            HealthCheckState::NotNeeded => {
                self.health_check = HealthCheckState::Wanted;
                false
            }
            HealthCheckState::Wanted | HealthCheckState::Running => false,
            HealthCheckState::Passed => idle,
        }
    }

    /// Whether the endpoint was ejected and has not responded successfully since. After the
    /// ejection it receives one request at a time as a probe.
    pub(crate) fn needs_probe(&self) -> bool {
        self.consecutive_failures >= EJECTION_THRESHOLD
    }

    /// Records a successful response. An endpoint that was unreachable before may have been
    /// restarted, so it counts as cold for `cold_start` from now on.
    pub(crate) fn record_success(&mut self, now: Duration, cold_start: Duration) {
        self.consecutive_failures = 0;
        self.health_check = HealthCheckState::NotNeeded;
        self.failure_ratio -= FAILURE_SAMPLE_WEIGHT * self.failure_ratio;
        if std::mem::take(&mut self.unreachable) {
            self.restart_suspected_at = None;
            self.mark_cold(now, cold_start);
        }
    }

    /// Records a failure to open a connection.
    pub(crate) fn record_unreachable(&mut self, now: Duration, first_send_at: Duration) {
        self.unreachable = true;
        self.record_restart_report(now);
        self.record_failure(now, 1);
        // A single failure may be that of the network; the next success marks the endpoint as cold.
        if self.needs_probe() {
            self.suspect_restart(now, first_send_at);
        }
    }

    /// Records that a connection was lost. Until it is known whether the endpoint restarted, it gets
    /// no more requests than a cold one, the first of them at `first_send_at`.
    pub(crate) fn suspect_restart(&mut self, now: Duration, first_send_at: Duration) {
        self.restart_suspected_at = Some(now);
        self.record_restart_report(now);
        if !self.is_cold(now) {
            self.cold_limiter.start(first_send_at);
        }
    }

    /// Records a response of a process that is past its cold start to what was sent at `sent_at`. The process
    /// may have ended since, if a restart was reported later.
    pub(crate) fn record_warm_response(&mut self, sent_at: Duration) {
        let doubts = [self.restart_suspected_at, self.restart_reported_at];
        if doubts.iter().flatten().all(|at| *at < sent_at) {
            self.restart_suspected_at = None;
            self.restart_reported_at = None;
            self.unreachable = false;
        }
    }

    /// Records that this or another entry takes it that the endpoint may have restarted.
    pub(crate) fn record_restart_report(&mut self, now: Duration) {
        self.restart_reported_at = Some(now);
        // A check that is under way may have reached the process that has ended.
        self.health_check = HealthCheckState::NotNeeded;
    }

    /// Whether no connection to a process past its cold start is known since a report.
    pub(crate) fn is_reported(&self) -> bool {
        self.restart_reported_at.is_some()
    }

    /// Whether the endpoint was reported at `since` or later, so that a check that began then may have reached a
    /// process that has ended.
    pub(crate) fn is_reported_since(&self, since: Duration) -> bool {
        self.restart_reported_at.is_some_and(|at| at >= since)
    }

    /// Whether the last attempt to open a connection failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// The rate limit that the endpoint named, in requests per second.
    pub(crate) fn rate_limit(&self) -> Option<f64> {
        self.rate_limit
    }

    /// Sets or lifts the rate limit. The first request under a new limit is sent at `first_send_at`.
    pub(crate) fn set_rate_limit(&mut self, rate: Option<f64>, first_send_at: Duration) {
        match (self.rate_limit, rate) {
            (None, Some(_)) => self.rate_limiter.start(first_send_at),
            (Some(_), None) => self.rate_limiter.reset(),
            (None, None) | (Some(_), Some(_)) => {}
        }
        self.rate_limit = rate;
    }

    /// Whether the rate limit that the endpoint named allows a request now.
    pub(crate) fn rate_limit_allows(&mut self, now: Duration) -> bool {
        self.rate_limit.is_none() || self.rate_limiter.allows(now, Duration::ZERO, 0.0)
    }

    /// Whether the endpoint may have restarted, in which case a health check is requested here.
    pub(crate) fn may_have_restarted(&mut self) -> bool {
        let suspected = self.restart_suspected_at.is_some();
        if suspected && self.health_check == HealthCheckState::NotNeeded {
            self.health_check = HealthCheckState::Wanted;
        }
        suspected
    }

    /// Forgets the suspicion and the ejection of an endpoint that lost its connections at `since` or
    /// later, because this entry had lost its own paths.
    pub(crate) fn forget_failures_since(&mut self, since: Duration) {
        if self.restart_suspected_at.is_some_and(|at| at >= since) {
            self.restart_suspected_at = None;
            self.unreachable = false;
            self.consecutive_failures = 0;
            self.ejected_until = Duration::ZERO;
            self.health_check = HealthCheckState::NotNeeded;
        }
    }

    /// Records how long the endpoint stays cold according to its response to a health check. Without
    /// that information, an endpoint that was unreachable counts as cold for `cold_start`.
    pub(crate) fn record_restart_check(
        &mut self,
        now: Duration,
        cold_for: Option<Duration>,
        cold_start: Duration,
    ) {
        let was_unreachable = std::mem::take(&mut self.unreachable);
        self.restart_suspected_at = None;
        self.restart_reported_at = None;
        let cold_for = match cold_for.filter(|told| *told <= MAX_TOLD_COLD_TIME) {
            Some(cold_for) => cold_for,
            None if was_unreachable => cold_start,
            None => Duration::ZERO,
        };
        if !cold_for.is_zero() {
            self.mark_cold(now, cold_for);
        }
    }

    /// Records a failure that counts as `count` consecutive failures.
    pub(crate) fn record_failure(&mut self, now: Duration, count: u32) {
        self.failure_ratio += FAILURE_SAMPLE_WEIGHT * (1.0 - self.failure_ratio);
        self.consecutive_failures += count;
        self.health_check = HealthCheckState::NotNeeded;
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            let doublings = (self.consecutive_failures - EJECTION_THRESHOLD).min(3);
            self.ejected_until =
                now + (EJECTION_TIME_RANGE.0 * 2_u32.pow(doublings)).min(EJECTION_TIME_RANGE.1);
        }
    }

    /// Marks the endpoint as cold for at least `duration` and clears its working set.
    pub(crate) fn mark_cold(&mut self, now: Duration, duration: Duration) {
        if !self.is_cold(now) {
            self.cold_limiter.reset();
        }
        self.cold_until = self.cold_until.max(Some(now + duration));
        self.working_set.clear();
    }
}

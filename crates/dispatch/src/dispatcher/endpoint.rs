use crate::cold_allowance::ColdAllowance;
use crate::load_estimate::LoadEstimate;
use crate::warm_keys::WarmKeys;
use mangospindle_fleet::EndpointState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Failures in a row from which an endpoint gets no requests for a while.
const EJECT_AFTER: u32 = 2;

/// Shortest and longest time without requests after failures.
const EJECTION: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(4));

/// Weight of one result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// What an entry knows about an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) instance: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: String,
    pub(crate) slots: u32,
    pub(crate) state: EndpointState,
    /// Whether another endpoint has the address.
    pub(crate) misdirected: bool,
    /// When the endpoint is warm by what is known; `None` if it was never cold.
    cold_until: Option<Duration>,
    /// How much longer this entry treats it as cold.
    warm_margin: Duration,
    pub(crate) cold: ColdAllowance,
    pub(crate) load: LoadEstimate,
    pub(crate) warm: WarmKeys,
    /// Recent share of requests that failed or were rejected without need.
    pub(crate) failures: f64,
    failed_in_row: u32,
    ejected_until: Duration,
    /// Whether no connection could be opened since the last answer.
    unreachable: bool,
}

impl Endpoint {
    pub(crate) fn new(
        record: &mangospindle_fleet::EndpointRecord,
        now: Duration,
        warm_margin: Duration,
    ) -> Self {
        let mut endpoint = Endpoint {
            instance: record.instance.clone(),
            service: record.service.clone(),
            address: record.address,
            failure_domain: record.failure_domain.clone(),
            slots: record.slots.max(1),
            state: record.state,
            misdirected: false,
            cold_until: None,
            warm_margin,
            cold: ColdAllowance::default(),
            load: LoadEstimate::default(),
            warm: WarmKeys::default(),
            failures: 0.0,
            failed_in_row: 0,
            ejected_until: Duration::ZERO,
            unreachable: false,
        };
        if !record.cold_for.is_zero() {
            endpoint.cool(now, record.cold_for);
        }
        endpoint
    }

    /// Whether the endpoint may get requests at all.
    pub(crate) fn is_allowed(&self, evacuated: &BTreeSet<String>) -> bool {
        self.state == EndpointState::Ready
            && !self.misdirected
            && !evacuated.contains(&self.failure_domain)
    }

    /// Whether the endpoint is allowed and is expected to answer.
    pub(crate) fn is_usable(&self, now: Duration, evacuated: &BTreeSet<String>) -> bool {
        self.is_allowed(evacuated) && now >= self.ejected_until
    }

    pub(crate) fn is_cold(&self, now: Duration) -> bool {
        (self.cold_until).is_some_and(|until| now < until + self.warm_margin)
    }

    /// Whether the endpoint has failed and not answered since. It then gets one request at a time.
    pub(crate) fn is_on_trial(&self) -> bool {
        self.failed_in_row >= EJECT_AFTER
    }

    /// Records an answer. An endpoint that could not be reached before may have been started again;
    /// it is cold from then on for `cold_start`.
    pub(crate) fn succeeded(&mut self, now: Duration, cold_start: Duration) {
        self.failed_in_row = 0;
        self.failures -= FAILURE_WEIGHT * self.failures;
        if std::mem::take(&mut self.unreachable) {
            self.cool(now, cold_start);
        }
    }

    /// Records that no connection could be opened.
    pub(crate) fn unreachable(&mut self, now: Duration) {
        self.unreachable = true;
        self.failed(now, 1);
    }

    /// Records a failure; `weight` failures in a row.
    pub(crate) fn failed(&mut self, now: Duration, weight: u32) {
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
        self.failed_in_row += weight;
        if self.failed_in_row >= EJECT_AFTER {
            let doublings = (self.failed_in_row - EJECT_AFTER).min(3);
            self.ejected_until = now + (EJECTION.0 * 2_u32.pow(doublings)).min(EJECTION.1);
        }
    }

    /// Records that the endpoint must be treated as cold for at least `time`.
    pub(crate) fn cool(&mut self, now: Duration, time: Duration) {
        if !self.is_cold(now) {
            self.cold.reset();
        }
        self.cold_until = self.cold_until.max(Some(now + time));
        self.warm.clear();
    }
}

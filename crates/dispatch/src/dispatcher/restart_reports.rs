//! Reports of entries that an endpoint may have restarted.

use super::Dispatcher;
use crate::EndpointKey;
use std::time::Duration;

/// Interval between requests to an endpoint on new connections that are not checked. An entry that opens them
/// faster could by itself flood an endpoint which restarted between two requests, so that no entry noticed.
const UNCHECKED_SEND_INTERVAL: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Records that another entry takes it that an endpoint may have restarted.
    pub fn record_restart_report(&mut self, now: Duration, instance: &str) {
        let key = self.by_instance.get(instance);
        if let Some(e) = key.and_then(|key| self.endpoints.get_mut(key)) {
            e.record_restart_report(now);
        }
    }

    /// Records that this entry knows of all reports, and will until `until`. After that the absence of
    /// a report says nothing.
    pub fn record_reports_complete(&mut self, until: Duration) {
        self.reports_complete_until = until;
    }

    /// Whether a connection to the endpoint must be checked before a request, unless it is known to lead to a
    /// process past its cold start.
    pub fn requires_check(&self, now: Duration, endpoint: EndpointKey) -> bool {
        now >= self.reports_complete_until || self.is_reported(endpoint)
    }

    /// Whether the last attempt to open a connection to the endpoint failed.
    pub fn is_unreachable(&self, endpoint: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(&endpoint);
        endpoint.is_some_and(|e| e.is_unreachable())
    }

    /// Whether a restart of the endpoint was reported since this entry knows that it is past its cold start.
    pub fn is_reported(&self, endpoint: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(&endpoint);
        endpoint.is_none_or(|e| e.is_reported())
    }

    /// Whether a request may be sent on a new connection without a check, and counts it.
    pub fn allow_unchecked_send(&mut self, now: Duration, endpoint: EndpointKey) -> bool {
        if self.requires_check(now, endpoint) {
            return false;
        }
        let Some(e) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        let allowed = e
            .unchecked_limiter
            .allows(now, UNCHECKED_SEND_INTERVAL, 0.0);
        if allowed {
            e.unchecked_limiter
                .record_send(now, UNCHECKED_SEND_INTERVAL);
        }
        allowed
    }
}

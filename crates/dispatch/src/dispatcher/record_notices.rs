use super::Dispatcher;
use crate::{EndpointKey, EndpointNotices};
use rand::Rng;
use std::time::Duration;

impl Dispatcher {
    /// Records what an endpoint said in a response to a request, whether or not it ran the request.
    /// Returns whether its rate limit has changed.
    pub fn record_notices(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        notices: EndpointNotices,
    ) -> bool {
        let Some(e) = self.endpoints.get(&endpoint) else {
            return false;
        };
        let changed = e.rate_limit() != notices.rate_limit;
        let interval = (notices.rate_limit).map(|rate| self.limited_interval(e, rate));
        // Entries that learn of the limit at the same time do not use it at the same time.
        let delay = interval
            .unwrap_or_default()
            .mul_f64(self.rng.random_range(0.0..1.0));
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.set_rate_limit(notices.rate_limit, now + delay);
            if notices.leaving {
                e.record_leaving(now);
            }
            if let Some(retry_after) = notices.retry_after {
                e.back_off(now, retry_after);
            }
        }
        changed
    }

    /// Records what an endpoint said in a response to a health check. Such a response does not repeat the rate
    /// limit.
    pub fn record_check_notices(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        notices: EndpointNotices,
    ) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        if notices.leaving {
            e.record_leaving(now);
        }
        if let Some(retry_after) = notices.retry_after {
            e.back_off(now, retry_after);
        }
    }
}

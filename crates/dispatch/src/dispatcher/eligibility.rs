//! Which endpoints may receive a request now, and the rates at which this entry sends to endpoints
//! whose rate is limited.

use super::Dispatcher;
use super::endpoint::Endpoint;
use crate::entry_rate_limiter::send_interval;
use crate::health_check::HealthCheckState;
use crate::{EndpointKey, Request};
use rand::Rng;
use std::time::Duration;

/// Fraction of a cold endpoint's rate limit that the entries aware of the cold start use. Entries
/// that are partitioned from the control replicas may not know that the endpoint is cold.
const COLD_RATE_FRACTION: f64 = 0.6;

/// Longest interval between the requests of one entry to a cold endpoint. With a longer one, an
/// endpoint would receive no request at all during its cold start.
const MAX_COLD_INTERVAL: Duration = Duration::from_secs(60);

/// Fraction of the rate limit that an endpoint names which the entries of its region use. The others
/// use the rest: they send it few requests, but must notice when the limit is lifted.
const LOCAL_LIMIT_FRACTION: f64 = 0.8;

/// Longest interval between the requests of one entry to an endpoint that names a rate limit. The
/// entry learns only from a response that the limit is lifted.
const MAX_LIMITED_INTERVAL: Duration = Duration::from_secs(120);

impl Dispatcher {
    /// Whether an endpoint may receive the request now.
    pub(super) fn can_receive(
        &mut self,
        now: Duration,
        key: EndpointKey,
        request: &Request<'_>,
    ) -> bool {
        if request.tried.contains(&key) {
            return false;
        }
        let cold_interval = self.cold_interval(request.service);
        let Some(e) = self.endpoints.get_mut(&key) else {
            return false;
        };
        let region = self.settings.region_of(&e.failure_domain);
        let in_own_region = region == self.settings.region();
        let homes = request.home_regions;
        let in_home_region = homes.is_empty() || homes.iter().any(|h| h == region);
        if !in_home_region || !e.is_usable(now, &self.evacuated) {
            return false;
        }
        let limited = e.may_have_restarted() || e.is_cold(now);
        let may_send = e.may_send(request.idempotent);
        self.health_checks_wanted |= e.health_check == HealthCheckState::Wanted;
        match limited {
            _ if !may_send || !e.rate_limit_allows(now) => false,
            false => true,
            true => {
                let offset = self.rng.random_range(0.0..1.0);
                in_own_region && e.cold_limiter.allows(now, cold_interval, offset)
            }
        }
    }

    pub(super) fn cold_interval(&self, service: &str) -> Duration {
        let rate = self
            .routes
            .services
            .get(service)
            .map_or(0.0, |s| s.cold_rate);
        send_interval(
            rate * COLD_RATE_FRACTION,
            self.region_entries.count(),
            MAX_COLD_INTERVAL,
        )
    }

    /// Interval between the requests of this entry to an endpoint that takes `rate` requests per second
    /// from all entries together.
    pub(super) fn limited_interval(&self, e: &Endpoint, rate: f64) -> Duration {
        let local = self.settings.region_of(&e.failure_domain) == self.settings.region();
        let region_entries = self.region_entries.count();
        let other_regions = self.settings.region_count().saturating_sub(1) as u32;
        let (fraction, entries) = match local {
            true => (LOCAL_LIMIT_FRACTION, region_entries),
            false => (1.0 - LOCAL_LIMIT_FRACTION, region_entries * other_regions),
        };
        send_interval(rate * fraction, entries, MAX_LIMITED_INTERVAL)
    }
}

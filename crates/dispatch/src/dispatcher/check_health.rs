use super::Dispatcher;
use super::update::{COLD_MARGIN_AND_JITTER, DEFAULT_COLD_START};
use crate::health_check::HealthCheckState;
use crate::{EndpointKey, HealthCheck, HealthReport};
use std::time::Duration;

impl Dispatcher {
    /// Whether a request could have used an endpoint that needs a health check first.
    pub fn wants_health_checks(&self) -> bool {
        self.health_checks_wanted
    }

    /// The health checks to send now. Each must be followed by a call of
    /// [`Dispatcher::record_health_check`].
    pub fn take_health_checks(&mut self, now: Duration) -> Vec<HealthCheck> {
        let mut checks = Vec::new();
        self.health_checks_wanted = false;
        for (key, e) in &mut self.endpoints {
            let service = self.routes.services.get(&e.service);
            match service {
                Some(service)
                    if e.health_check == HealthCheckState::Wanted
                        && e.is_usable(now, &self.evacuated) =>
                {
                    e.health_check = HealthCheckState::Running;
                    checks.push(HealthCheck {
                        endpoint: *key,
                        address: e.address,
                        instance: e.instance.clone(),
                        path: service.health_path.clone(),
                    });
                }
                _ => {}
            }
        }
        checks
    }

    /// A health check to send on the connection of a request to an endpoint.
    pub fn connection_check(&self, endpoint: EndpointKey) -> Option<HealthCheck> {
        let e = self.endpoints.get(&endpoint)?;
        let service = self.routes.services.get(&e.service)?;
        Some(HealthCheck {
            endpoint,
            address: e.address,
            instance: e.instance.clone(),
            path: service.health_path.clone(),
        })
    }

    /// Records the result of a health check. A failed check ejects the endpoint again, unless a
    /// request had a result there in the meantime. An endpoint that was not ejected stays in use even
    /// if it reports that it is not healthy, because requests are the better evidence.
    pub fn record_health_check(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        report: HealthReport,
    ) {
        let Some(e) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        if e.health_check != HealthCheckState::Running {
            return;
        }
        let service = self.routes.services.get(&e.service);
        let cold_start = service.map_or(DEFAULT_COLD_START, |s| s.cold_start);
        let healthy = match report {
            HealthReport::Answered { healthy, cold_for } => {
                e.record_restart_check(now, cold_for, cold_start);
                healthy
            }
            HealthReport::Rejected { .. } => false,
            HealthReport::Misdirected => {
                e.record_reassigned(now);
                return;
            }
            HealthReport::Unanswered => return e.record_failure(now, 1),
        };
        match e.needs_probe() {
            false => e.health_check = HealthCheckState::NotNeeded,
            true if healthy => e.health_check = HealthCheckState::Passed,
            true => e.record_failure(now, 1),
        }
    }

    /// Records how long an endpoint stays cold according to its response to a health check that began at
    /// `began_at` on the connection of a request. Returns whether the request may be sent on the connection
    /// without the cold rate limit.
    pub fn record_connection_check(
        &mut self,
        now: Duration,
        endpoint: EndpointKey,
        began_at: Duration,
        cold_for: Option<Duration>,
    ) -> bool {
        let Some(e) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        // The process that responded may have ended since, which says nothing of connections opened later.
        if e.is_reported_since(began_at) && cold_for.is_none_or(|told| told.is_zero()) {
            return true;
        }
        let service = self.routes.services.get(&e.service);
        let cold_start = service.map_or(DEFAULT_COLD_START, |s| s.cold_start);
        e.record_restart_check(now, cold_for, cold_start);
        !e.is_cold(now)
    }

    /// Records a response of a process that is past its cold start to what was sent at `sent_at`.
    pub fn record_warm_response(&mut self, sent_at: Duration, endpoint: EndpointKey) {
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.record_warm_response(sent_at);
        }
    }

    /// Age from which a connection to the endpoint shows that the process is past its cold start.
    pub fn warm_connection_age(&self, endpoint: EndpointKey) -> Duration {
        let endpoint = self.endpoints.get(&endpoint);
        let service = endpoint.and_then(|e| self.routes.services.get(&e.service));
        service.map_or(DEFAULT_COLD_START, |s| s.cold_start) + COLD_MARGIN_AND_JITTER.0
    }
}

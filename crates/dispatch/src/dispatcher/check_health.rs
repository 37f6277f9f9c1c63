use super::Dispatcher;
use super::update::DEFAULT_COLD_START;
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
            HealthReport::Unanswered => return e.record_failure(now, 1),
        };
        match e.needs_probe() {
            false => e.health_check = HealthCheckState::NotNeeded,
            true if healthy => e.health_check = HealthCheckState::Passed,
            true => e.record_failure(now, 1),
        }
    }
}

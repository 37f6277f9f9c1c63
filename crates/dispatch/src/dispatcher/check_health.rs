use super::Dispatcher;
use crate::health_check::HealthCheckState;
use crate::{EndpointKey, HealthCheck};
use std::time::Duration;

impl Dispatcher {
    /// The health checks to send now. Each must be followed by a call of
    /// [`Dispatcher::record_health_check`].
    pub fn take_health_checks(&mut self, now: Duration) -> Vec<HealthCheck> {
        let mut checks = Vec::new();
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
    /// request had a result there in the meantime.
    pub fn record_health_check(&mut self, now: Duration, endpoint: EndpointKey, passed: bool) {
        match self.endpoints.get_mut(&endpoint) {
            Some(e) if e.health_check == HealthCheckState::Running && passed => {
                e.health_check = HealthCheckState::Passed;
            }
            Some(e) if e.health_check == HealthCheckState::Running => e.record_failure(now, 1),
            _ => {}
        }
    }
}

use crate::{Behaviour, EndpointReport, HealthState};
use mangospindle_model::RegionId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bound within which a leaving endpoint must stop receiving requests.
pub(crate) const DRAIN_BOUND: Duration = Duration::from_secs(2);

/// State of one endpoint stand-in.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) name: String,
    pub(crate) region: RegionId,
    pub(crate) behaviour: Behaviour,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) connections: u32,
    pub(crate) frozen_in_progress: u32,
    pub(crate) requests_by_home: BTreeMap<String, u32>,
    pub(crate) report: EndpointReport,
}

impl EndpointState {
    pub(crate) fn set_behaviour(&mut self, now: Duration, behaviour: Behaviour) {
        self.leaving_since = match (behaviour.health, self.leaving_since) {
            (HealthState::Ok, _) => None,
            (HealthState::Leaving, None) => Some(now),
            (HealthState::Leaving, since) => since,
        };
        if behaviour.freeze_readings && !self.behaviour.freeze_readings {
            self.frozen_in_progress = self.report.in_progress;
        }
        self.behaviour = behaviour;
    }

    /// Counts a request at its start and returns its processing time.
    pub(crate) fn start_request(&mut self, now: Duration, home: Option<&str>) -> Duration {
        self.report.requests += 1;
        self.report.in_progress += 1;
        let most = self.report.max_in_progress.max(self.report.in_progress);
        self.report.max_in_progress = most;
        if (self.leaving_since).is_some_and(|since| now > since + DRAIN_BOUND) {
            self.report.requests_while_leaving += 1;
        }
        let mut time = self.behaviour.service_time_ms;
        if self.behaviour.slow_above_slots && self.report.in_progress > self.report.slots {
            time = time * u64::from(self.report.in_progress) / u64::from(self.report.slots);
        }
        if let Some(home) = home {
            let seen = self.requests_by_home.entry(home.to_string()).or_default();
            *seen += 1;
            if *seen <= self.behaviour.cold_requests {
                time += self.behaviour.cold_time_ms;
            }
        }
        Duration::from_millis(time)
    }

    pub(crate) fn reported_in_progress(&self) -> u32 {
        match self.behaviour.freeze_readings {
            true => self.frozen_in_progress,
            false => self.report.in_progress,
        }
    }
}

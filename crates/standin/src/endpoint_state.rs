use crate::{Behaviour, EndpointReport, HealthState};
use mangospindle_model::RegionId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a leaving endpoint must no longer receive requests.
pub(crate) const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// State of one endpoint stand-in.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) name: String,
    pub(crate) region: RegionId,
    pub(crate) behaviour: Behaviour,
    pub(crate) leaving_since: Option<Duration>,
    pub(crate) connections: u32,
    pub(crate) frozen_in_progress: u32,
    pub(crate) requests_by_home_region: BTreeMap<String, u32>,
    pub(crate) report: EndpointReport,
}

impl EndpointState {
    /// Sets the behaviour. `now` is the start of the drain if the endpoint was not leaving before.
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

    /// Counts a request when it starts and returns its processing time.
    pub(crate) fn start_request(&mut self, now: Duration, home_region: Option<&str>) -> Duration {
        self.report.requests += 1;
        self.report.in_progress += 1;
        let peak = self.report.max_in_progress.max(self.report.in_progress);
        self.report.max_in_progress = peak;
        if (self.leaving_since).is_some_and(|since| now > since + DRAIN_GRACE_PERIOD) {
            self.report.requests_while_leaving += 1;
        }
        let mut processing_time_ms = self.behaviour.service_time_ms;
        if self.behaviour.slow_above_slots && self.report.in_progress > self.report.slots {
            processing_time_ms = processing_time_ms * u64::from(self.report.in_progress)
                / u64::from(self.report.slots);
        }
        if let Some(home_region) = home_region {
            let requests_from_region = self
                .requests_by_home_region
                .entry(home_region.to_string())
                .or_default();
            *requests_from_region += 1;
            if *requests_from_region <= self.behaviour.cold_requests {
                processing_time_ms += self.behaviour.cold_time_ms;
            }
        }
        Duration::from_millis(processing_time_ms)
    }

    /// Returns the number of requests in progress as reported in the health response.
    pub(crate) fn reported_in_progress(&self) -> u32 {
        match self.behaviour.freeze_readings {
            true => self.frozen_in_progress,
            false => self.report.in_progress,
        }
    }
}

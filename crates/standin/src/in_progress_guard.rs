use crate::fleet::Fleet;
use mangospindle_model::EndpointId;
use std::sync::Arc;
use std::time::Duration;

/// Counts a request as in progress until the guard is dropped, which includes the loss of the
/// connection.
pub(crate) struct InProgressGuard {
    fleet: Arc<Fleet>,
    endpoint: EndpointId,
}

impl InProgressGuard {
    /// Counts a request and returns its guard and its processing time.
    pub(crate) fn start(
        fleet: &Arc<Fleet>,
        endpoint: EndpointId,
        home_region: Option<&str>,
    ) -> (InProgressGuard, Duration) {
        let now = fleet.clock.now();
        let mut inner = fleet.lock();
        let mut processing_time = Duration::ZERO;
        if let Some(state) = inner.endpoints.get_mut(&endpoint) {
            processing_time = state.start_request(now, home_region);
            let region = state.region.index();
            let endpoint = &fleet.topology.endpoints[endpoint.index()];
            let service = &fleet.topology.services[endpoint.service.index()].name;
            let source = format!("{service} {}", home_region.unwrap_or("unknown"));
            inner.start_region_request(region, now.as_secs() as usize, &source);
        }
        let guard = InProgressGuard {
            fleet: Arc::clone(fleet),
            endpoint,
        };
        (guard, processing_time)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        let mut inner = self.fleet.lock();
        if let Some(state) = inner.endpoints.get_mut(&self.endpoint) {
            state.report.in_progress -= 1;
            let region = state.region.index();
            inner.finish_region_request(region);
        }
    }
}

use crate::fleet::Fleet;
use mangospindle_model::EndpointId;
use std::sync::Arc;
use std::time::Duration;

/// Counts a request as in progress until it is dropped, also when the connection is lost.
pub(crate) struct InProgress {
    fleet: Arc<Fleet>,
    endpoint: EndpointId,
}

impl InProgress {
    /// Counts a request and returns its processing time.
    pub(crate) fn start(
        fleet: &Arc<Fleet>,
        endpoint: EndpointId,
        home: Option<&str>,
    ) -> (InProgress, Duration) {
        let now = fleet.clock.now();
        let mut inner = fleet.lock();
        let mut time = Duration::ZERO;
        if let Some(state) = inner.endpoints.get_mut(&endpoint) {
            time = state.start_request(now, home);
            let region = state.region.index();
            let endpoint = &fleet.topology.endpoints[endpoint.index()];
            let service = &fleet.topology.services[endpoint.service.index()].name;
            let source = format!("{service} {}", home.unwrap_or("unknown"));
            inner.region_started(region, now.as_secs() as usize, &source);
        }
        let guard = InProgress {
            fleet: Arc::clone(fleet),
            endpoint,
        };
        (guard, time)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut inner = self.fleet.lock();
        if let Some(state) = inner.endpoints.get_mut(&self.endpoint) {
            state.report.in_progress -= 1;
            let region = state.region.index();
            inner.region_finished(region);
        }
    }
}

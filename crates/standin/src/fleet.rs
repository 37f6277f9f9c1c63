use crate::endpoint_state::EndpointState;
use crate::{Behaviour, EndpointReport, RegionReport, Report};
use mangospindle_model::{Clock, EndpointId, Topology};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// All endpoint stand-ins of one process.
pub(crate) struct Fleet {
    pub(crate) topology: Topology,
    pub(crate) clock: Arc<dyn Clock>,
    inner: Mutex<FleetState>,
}

/// Mutable state of a [`Fleet`].
pub(crate) struct FleetState {
    pub(crate) endpoints: BTreeMap<EndpointId, EndpointState>,
    regions: Vec<RegionCounts>,
}

/// Counts over the hosted endpoints of one region.
#[derive(Clone, Default)]
struct RegionCounts {
    in_progress: u32,
    report: RegionReport,
}

impl Fleet {
    pub(crate) fn new(
        topology: Topology,
        hosted: &[EndpointId],
        behaviour: Behaviour,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let new_state = |id: &EndpointId| {
            let endpoint = &topology.endpoints[id.index()];
            let state = EndpointState {
                name: endpoint.name.clone(),
                region: topology.endpoint_region(*id),
                behaviour,
                leaving_since: None,
                connections: 0,
                frozen_in_progress: 0,
                requests_by_home_region: BTreeMap::new(),
                report: EndpointReport {
                    slots: endpoint.slots,
                    ..EndpointReport::default()
                },
            };
            (*id, state)
        };
        let regions = (topology.regions.iter())
            .map(|r| RegionCounts {
                in_progress: 0,
                report: RegionReport {
                    limit: r.max_in_progress,
                    ..RegionReport::default()
                },
            })
            .collect();
        let inner = FleetState {
            endpoints: hosted.iter().map(new_state).collect(),
            regions,
        };
        Fleet {
            topology,
            clock,
            inner: Mutex::new(inner),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts of all hosted endpoints and of their regions.
    pub(crate) fn report(&self) -> Report {
        let inner = self.lock();
        let endpoints = (inner.endpoints.values())
            .map(|e| (e.name.clone(), e.report.clone()))
            .collect();
        let regions = (self.topology.regions.iter().zip(&inner.regions))
            .map(|(region, count)| (region.name.clone(), count.report.clone()))
            .collect();
        Report { endpoints, regions }
    }

    /// Sets the behaviour of the endpoints in `names`, or of all endpoints if `names` is empty.
    /// Returns the number of endpoints changed.
    pub(crate) fn set_behaviour(&self, names: &[String], behaviour: Behaviour) -> usize {
        let now = self.clock.now();
        let mut inner = self.lock();
        let selected =
            (inner.endpoints.values_mut()).filter(|e| names.is_empty() || names.contains(&e.name));
        selected.map(|e| e.set_behaviour(now, behaviour)).count()
    }
}

impl FleetState {
    /// Counts a request from `source` that started `second` seconds after the start of the clock.
    pub(crate) fn start_region_request(&mut self, region: usize, second: usize, source: &str) {
        let count = &mut self.regions[region];
        count.in_progress += 1;
        let peak = count.report.max_in_progress.max(count.in_progress);
        count.report.max_in_progress = peak;
        let arrivals = count.report.arrivals.entry(source.to_string()).or_default();
        if arrivals.len() <= second {
            arrivals.resize(second + 1, 0);
        }
        arrivals[second] += 1;
    }

    pub(crate) fn finish_region_request(&mut self, region: usize) {
        self.regions[region].in_progress -= 1;
    }
}

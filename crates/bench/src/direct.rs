use crate::{LoadPlan, Route};
use awc::Client;
use mangospindle_http::checked_connector;
use mangospindle_model::{EndpointId, RegionId, ServiceId, Topology};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two refreshes of the readings.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for a reading.
const READING_TIMEOUT: Duration = Duration::from_secs(1);

/// Chooses endpoints without entries, as a baseline. All callers share the turn and the readings,
/// which favours the baseline over callers that know only their own requests.
pub(crate) struct Direct {
    route: Route,
    topology: Topology,
    one_way: Vec<Vec<Duration>>,
    turn: Cell<usize>,
    readings: RefCell<HashMap<EndpointId, f64>>,
}

/// The part of a health answer that is used.
#[derive(Debug, Deserialize)]
struct Reading {
    load: f64,
}

impl Direct {
    /// The chooser of a plan; none if the plan goes through entries.
    pub(crate) fn new(plan: &LoadPlan) -> Option<Rc<Self>> {
        (plan.route != Route::Lookup).then(|| {
            Rc::new(Direct {
                route: plan.route,
                topology: plan.topology.clone(),
                one_way: plan.one_way.clone(),
                turn: Cell::new(0),
                readings: RefCell::default(),
            })
        })
    }

    /// Endpoints for a request, the first choice first.
    pub(crate) fn targets(&self, service: &str, home: RegionId) -> Vec<SocketAddr> {
        let Some(service) = self.topology.service_by_name(service) else {
            return Vec::new();
        };
        let mut ids = self.endpoints(service);
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let shift = turn % ids.len().max(1);
        ids.rotate_left(shift);
        if self.route == Route::LeastReported {
            let readings = self.readings.borrow();
            // A stable sort: equal loads keep the order of the turn.
            ids.sort_by(|a, b| {
                let rank = |id: &EndpointId| {
                    let load = readings.get(id).copied();
                    (
                        load.is_none(),
                        self.distance(home, *id),
                        load.unwrap_or(0.0),
                    )
                };
                let ((a_silent, a_far, a_load), (b_silent, b_far, b_load)) = (rank(a), rank(b));
                (a_silent, a_far)
                    .cmp(&(b_silent, b_far))
                    .then(a_load.total_cmp(&b_load))
            });
        }
        let address = |id: EndpointId| self.topology.endpoints[id.index()].address;
        ids.into_iter().map(address).collect()
    }

    /// Name of the region of the endpoint with this address.
    pub(crate) fn region_name(&self, address: SocketAddr) -> String {
        let mut ids = self.topology.endpoint_ids();
        let found = ids.find(|id| self.topology.endpoints[id.index()].address == address);
        found.map_or(String::new(), |id| {
            let region = self.topology.endpoint_region(id);
            self.topology.regions[region.index()].name.clone()
        })
    }

    /// Reads the load of all endpoints.
    pub(crate) async fn refresh(&self) {
        if self.route != Route::LeastReported {
            return;
        }
        let client = Client::builder().connector(checked_connector()).finish();
        let reads = self.topology.endpoint_ids().map(|id| {
            let address = self.topology.endpoints[id.index()].address;
            let get = client.get(format!("http://{address}/health")).send();
            let load = async move { get.await.ok()?.json::<Reading>().await.ok() };
            async move { (id, actix_rt::time::timeout(READING_TIMEOUT, load).await) }
        });
        let read = futures::future::join_all(reads).await;
        let known = read
            .into_iter()
            .filter_map(|(id, r)| Some((id, r.ok()??.load)));
        *self.readings.borrow_mut() = known.collect();
    }

    /// Refreshes the readings until it is dropped.
    pub(crate) async fn keep_fresh(&self) {
        loop {
            actix_rt::time::sleep(REFRESH_INTERVAL).await;
            self.refresh().await;
        }
    }

    fn endpoints(&self, service: ServiceId) -> Vec<EndpointId> {
        let of_service = |id: &EndpointId| self.topology.endpoints[id.index()].service == service;
        self.topology.endpoint_ids().filter(of_service).collect()
    }

    /// Latency to an endpoint; without latencies, only the home region is near.
    fn distance(&self, home: RegionId, id: EndpointId) -> (Duration, bool) {
        let region = self.topology.endpoint_region(id);
        let row = self.one_way.get(home.index());
        let latency = row.and_then(|row| row.get(region.index())).copied();
        (latency.unwrap_or_default(), region != home)
    }
}

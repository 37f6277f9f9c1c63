use std::time::Duration;

/// A failure domain with its entries and callers.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainConfig {
    /// Name of the failure domain.
    pub failure_domain: String,
    /// Name of the region that the failure domain belongs to.
    pub region: String,
    /// Number of entries.
    pub entries: usize,
}

/// A service and its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Number of endpoints in each failure domain, in the order of [`Scenario::domains`].
    pub endpoints: Vec<usize>,
    /// Number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// Maximum number of requests queued at an endpoint.
    pub queue_limit: usize,
    /// Mean service time for an object outside the working set.
    pub service_time: Duration,
    /// Service time for an object in the working set, as a fraction of `service_time`.
    pub working_set_time_fraction: f64,
    /// Number of objects in the working set of an endpoint.
    pub working_set_size: usize,
    /// Requests per second that a cold endpoint tolerates.
    pub cold_rate: f64,
    /// Time for which an endpoint is cold after a start.
    pub cold_start: Duration,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name.
    pub name: String,
    /// Index into [`Scenario::services`].
    pub service: usize,
    /// Requests per second from each failure domain.
    pub rate: f64,
    /// Latency within which a response is of full value to the caller.
    pub target_latency: Duration,
    /// Time after which the caller gives up.
    pub deadline: Duration,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Number of objects in each region.
    pub objects: u64,
}

/// A change during a run. Endpoints are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An endpoint stops and loses its running and queued requests.
    Kill(usize),
    /// An endpoint starts again, cold and with an empty working set.
    Start(usize),
    /// The platform announces that an endpoint is about to stop.
    Drain(usize),
    /// A failure domain is evacuated: its endpoints must get no further requests.
    Evacuate(String),
    /// From now on, the rates of all classes are multiplied by this factor. It replaces an earlier
    /// factor.
    Rate(f64),
}

/// A deployment and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Failure domains.
    pub domains: Vec<DomainConfig>,
    /// Services.
    pub services: Vec<Service>,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Changes and the times at which they take effect.
    pub changes: Vec<(Duration, Change)>,
    /// Time during which callers submit requests.
    pub duration: Duration,
    /// Delay until entries are told of a change.
    pub propagation_delay: Duration,
    /// One-way network latencies: between regions, and within a region.
    pub one_way_latencies: (Duration, Duration),
}

impl Scenario {
    /// Returns a deployment of three regions with two failure domains each and the same demand in
    /// each region. With the six endpoint counts 1, 2, 3, 1, 2, 3, the regions have 2, 4 and 6 of
    /// 12 endpoints, like the deployments of users.
    pub fn three_regions(service: Service, class: RequestClass) -> Self {
        let domain = |i: usize| DomainConfig {
            failure_domain: format!("domain-{i}"),
            region: format!("region-{}", i % 3),
            entries: if i < 3 { 2 } else { 1 },
        };
        Scenario {
            domains: (0..6).map(domain).collect(),
            services: vec![service],
            classes: vec![class],
            changes: Vec::new(),
            duration: Duration::from_secs(30),
            propagation_delay: Duration::from_millis(1500),
            one_way_latencies: (Duration::from_millis(20), Duration::from_micros(500)),
        }
    }

    /// Multiplies the number of entries, endpoints, callers and objects by `scale`.
    ///
    /// Each entry sends as many requests as before, but rarely to the same endpoint twice. It
    /// therefore knows less about the load of each endpoint.
    pub fn scaled(mut self, scale: usize) -> Self {
        for domain in &mut self.domains {
            domain.entries *= scale;
        }
        for service in &mut self.services {
            service.endpoints.iter_mut().for_each(|e| *e *= scale);
        }
        for class in &mut self.classes {
            class.rate *= scale as f64;
            class.objects *= scale as u64;
        }
        self
    }
}

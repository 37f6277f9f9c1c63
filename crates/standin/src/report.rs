use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of all endpoints of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts by endpoint name.
    pub endpoints: BTreeMap<String, EndpointReport>,
    /// Counts by region name, over the endpoints of this process.
    pub regions: BTreeMap<String, RegionReport>,
}

/// Counts of one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Requests received.
    pub requests: u64,
    /// Requests currently in progress.
    pub in_progress: u32,
    /// Maximum number of requests in progress at the same time.
    pub max_in_progress: u32,
    /// Number of slots from the deployment.
    pub slots: u32,
    /// Maximum number of connections open at the same time.
    pub max_connections: u32,
    /// Requests received after the drain grace period (2 s) of a leaving endpoint.
    pub requests_while_leaving: u64,
    /// Number of executions by idempotency key.
    pub executions: BTreeMap<String, u32>,
}

/// Counts over the endpoints of one region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReport {
    /// Maximum number of requests in progress at the same time.
    pub max_in_progress: u32,
    /// Limit of requests in progress from the deployment.
    pub limit: u32,
    /// Requests per second since the start of the process. The key is the service and the home
    /// region of the client, separated by a space.
    pub arrivals: BTreeMap<String, Vec<u32>>,
}

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What the endpoints of one process have counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Counts by endpoint name.
    pub endpoints: BTreeMap<String, EndpointReport>,
    /// Counts by region name, over the endpoints of this process.
    pub regions: BTreeMap<String, RegionReport>,
}

/// What one endpoint has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Requests received.
    pub requests: u64,
    /// Requests in progress now.
    pub in_progress: u32,
    /// Most requests in progress at a time.
    pub max_in_progress: u32,
    /// Limit from the deployment.
    pub slots: u32,
    /// Most open connections at a time.
    pub max_connections: u32,
    /// Requests received more than the drain bound after the endpoint said that it leaves.
    pub requests_while_leaving: u64,
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u32>,
}

/// What the endpoints of one region have counted together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReport {
    /// Most requests in progress at a time.
    pub max_in_progress: u32,
    /// Limit from the deployment.
    pub limit: u32,
    /// Requests by service and home region of the client (`service home`), in windows of one second
    /// since the start.
    pub arrivals: BTreeMap<String, Vec<u32>>,
}

use super::{EndpointService, RequestLimits, Route, RouteKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The difference between two tables, without their workspaces; much smaller than a table when few
/// routes change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTableChange {
    /// Number of the table after the change.
    pub number: u64,
    /// All services, if any of them changed.
    pub services: Option<BTreeMap<String, EndpointService>>,
    /// The limits, if they changed.
    pub limits: Option<RequestLimits>,
    /// Routes that are no longer in the table.
    pub removed: BTreeSet<RouteKey>,
    /// Routes that are new or changed.
    pub updated: BTreeMap<RouteKey, Route>,
}

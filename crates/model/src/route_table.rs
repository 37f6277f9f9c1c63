//! Routes that operators put as one numbered document.

mod change;
mod endpoint_service;
mod request_limits;
mod route;
mod route_error;
mod table_error;

pub use change::RouteTableChange;
pub use endpoint_service::EndpointService;
pub use request_limits::RequestLimits;
pub use route::{Route, RouteKey, RouteTarget};
pub use route_error::{RouteError, RouteFault};
pub use table_error::RouteTableError;

use crate::WorkspaceTable;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// All routes under one number. The highest number is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteTable {
    /// Number that the operator gave the table. Zero is also the number before the first table;
    /// [`is_set`](RouteTable::is_set) tells them apart.
    pub number: u64,
    /// Services that routes may name, by name.
    pub services: BTreeMap<String, EndpointService>,
    /// What callers may send.
    pub limits: RequestLimits,
    /// Routes by host and path prefix.
    pub routes: BTreeMap<RouteKey, Route>,
    /// Workspaces. They are encoded beside the table, because earlier builds cannot read a table with
    /// further fields.
    #[serde(skip)]
    pub workspaces: WorkspaceTable,
}

impl RouteTable {
    /// Checks what the code that uses the table relies on.
    pub fn validate(&self) -> Result<(), RouteTableError> {
        for (key, route) in &self.routes {
            route.validate(&self.services).map_err(|fault| RouteError {
                host: key.host.clone(),
                prefix: key.prefix.clone(),
                fault,
            })?;
        }
        self.workspaces.validate()?;
        Ok(())
    }

    /// Whether an operator has put a table. A table with number 0 that has no content beside the default
    /// limits cannot be told from none; it has no route either.
    pub fn is_set(&self) -> bool {
        self.number > 0
            || !self.routes.is_empty()
            || !self.services.is_empty()
            || !self.workspaces.is_empty()
            || self.limits != RequestLimits::default()
    }

    /// The route of a request: among those of the host, the one with the longest prefix that
    /// begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<(&RouteKey, &Route)> {
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| {
            let key = RouteKey {
                host: host.to_string(),
                prefix: path[..end].to_string(),
            };
            self.routes.get_key_value(&key)
        })
    }

    /// What turns this table into `next`, without its workspaces.
    pub fn change_to(&self, next: &RouteTable) -> RouteTableChange {
        let changed = |(key, route): &(&RouteKey, &Route)| self.routes.get(*key) != Some(*route);
        RouteTableChange {
            number: next.number,
            services: (self.services != next.services).then(|| next.services.clone()),
            limits: (self.limits != next.limits).then_some(next.limits),
            removed: (self.routes.keys())
                .filter(|key| !next.routes.contains_key(*key))
                .cloned()
                .collect::<BTreeSet<_>>(),
            updated: (next.routes.iter())
                .filter(changed)
                .map(|(key, route)| (key.clone(), route.clone()))
                .collect(),
        }
    }

    /// Applies a change. The workspaces stay as they are.
    pub fn apply(&mut self, change: &RouteTableChange) {
        self.number = change.number;
        if let Some(services) = &change.services {
            self.services = services.clone();
        }
        if let Some(limits) = change.limits {
            self.limits = limits;
        }
        self.routes.retain(|key, _| !change.removed.contains(key));
        let updated = change.updated.iter();
        (self.routes).extend(updated.map(|(key, route)| (key.clone(), route.clone())));
    }
}

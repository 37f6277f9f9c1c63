use super::Workspace;
use crate::RouteKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The difference between two tables of workspaces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceTableChange {
    /// Workspaces that are no longer in the table.
    pub removed: BTreeSet<String>,
    /// Workspaces that are new or changed.
    pub updated: BTreeMap<String, Workspace>,
    /// All routes that need no key, if these changed.
    pub public_routes: Option<BTreeSet<RouteKey>>,
}

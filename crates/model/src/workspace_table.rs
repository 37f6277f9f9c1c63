//! Workspaces of a route table: their keys, allowances and home regions.

mod allowance;
mod change;
mod key_digest;
mod key_index;
mod workspace;
mod workspace_error;

pub use allowance::Allowance;
pub use change::WorkspaceTableChange;
pub use key_digest::KeyDigest;
pub use key_index::KeyIndex;
pub use workspace::Workspace;
pub use workspace_error::{WorkspaceError, WorkspaceFault};

use crate::RouteKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// All workspaces, and the routes that need no key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceTable {
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Routes that need no key.
    pub public_routes: BTreeSet<RouteKey>,
}

impl WorkspaceTable {
    /// Whether the table holds nothing, so that requests need no keys.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty() && self.public_routes.is_empty()
    }

    /// Whether requests on a route need the key of a workspace.
    pub fn requires_key(&self, route: &RouteKey) -> bool {
        !self.workspaces.is_empty() && !self.public_routes.contains(route)
    }

    /// Checks that each key belongs to one workspace, and each workspace by itself.
    pub fn validate(&self) -> Result<(), WorkspaceError> {
        let mut owners: BTreeMap<&KeyDigest, &String> = BTreeMap::new();
        for (name, workspace) in &self.workspaces {
            let error = |fault| WorkspaceError {
                workspace: name.clone(),
                fault,
            };
            workspace.validate(name).map_err(error)?;
            for key in &workspace.keys {
                if let Some(other) = owners.insert(key, name) {
                    return Err(error(WorkspaceFault::SharedKey(other.clone())));
                }
            }
        }
        Ok(())
    }

    /// What turns this table into `next`; `None` if they are equal.
    pub fn change_to(&self, next: &WorkspaceTable) -> Option<WorkspaceTableChange> {
        if self == next {
            return None;
        }
        let is_changed = |(name, workspace): &(&String, &Workspace)| {
            self.workspaces.get(*name) != Some(*workspace)
        };
        Some(WorkspaceTableChange {
            removed: (self.workspaces.keys())
                .filter(|name| !next.workspaces.contains_key(*name))
                .cloned()
                .collect(),
            updated: (next.workspaces.iter())
                .filter(is_changed)
                .map(|(name, workspace)| (name.clone(), workspace.clone()))
                .collect(),
            public_routes: (self.public_routes != next.public_routes)
                .then(|| next.public_routes.clone()),
        })
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &WorkspaceTableChange) {
        self.workspaces
            .retain(|name, _| !change.removed.contains(name));
        let updated = change.updated.iter();
        (self.workspaces).extend(updated.map(|(name, w)| (name.clone(), w.clone())));
        if let Some(public_routes) = &change.public_routes {
            self.public_routes.clone_from(public_routes);
        }
    }
}

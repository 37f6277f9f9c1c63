use super::WorkspaceWire;
use serde::{Deserialize, Serialize};

/// A page of the workspaces, sorted by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspacePageWire {
    /// The workspaces.
    pub workspaces: Vec<WorkspaceWire>,
    /// Whether further workspaces follow the last one of the page.
    pub more: bool,
}

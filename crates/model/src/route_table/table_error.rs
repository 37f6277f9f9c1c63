use super::RouteError;
use crate::WorkspaceError;

/// Why a route table is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteTableError {
    /// A route is not valid.
    #[error(transparent)]
    Route(#[from] RouteError),
    /// A workspace is not valid.
    #[error(transparent)]
    Workspace(#[from] WorkspaceError),
}

use std::fmt;

/// What is wrong with a workspace. Contains no keys, because it is logged and sent to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkspaceFault {
    /// The name is empty or not printable ASCII without spaces.
    InvalidName,
    /// The allowance is not a positive rate and a burst of at least zero.
    InvalidAllowance,
    /// One of its keys also belongs to the workspace with this name.
    SharedKey(String),
}

/// Why the workspaces of a table are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceError {
    /// Name of the workspace.
    pub workspace: String,
    /// What is wrong with it.
    pub fault: WorkspaceFault,
}

impl fmt::Display for WorkspaceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "workspace {:?}: ", self.workspace)?;
        match &self.fault {
            WorkspaceFault::InvalidName => {
                f.write_str("the name must be printable ASCII without spaces")
            }
            WorkspaceFault::InvalidAllowance => f.write_str("the allowance is not valid"),
            WorkspaceFault::SharedKey(other) => {
                write!(f, "a key also belongs to workspace {other:?}")
            }
        }
    }
}

impl std::error::Error for WorkspaceError {}

use serde::{Deserialize, Serialize};

/// What an error answer says about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CanHaveRun {
    /// It did not run and will not run.
    No,
    /// It may have run or may still run.
    Unknown,
    /// It ran.
    Yes,
}

impl CanHaveRun {
    /// Value of the `x-request-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            CanHaveRun::No => "no",
            CanHaveRun::Unknown => "unknown",
            CanHaveRun::Yes => "yes",
        }
    }
}

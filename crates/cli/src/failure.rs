use crate::Exit;
use mangospindle_http::ProblemBody;
use std::fmt;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The exit code.
    pub exit: Exit,
    /// What happened, for people.
    pub message: String,
}

impl Failure {
    pub(crate) fn new<M>(exit: Exit, message: M) -> Self
    where
        M: Into<String>,
    {
        Failure {
            exit,
            message: message.into(),
        }
    }

    /// The failure that an error answer stands for.
    pub(crate) fn from_problem(problem: &ProblemBody) -> Self {
        let exit = match (problem.name(), problem.status) {
            ("version-conflict", _) => Exit::Conflict,
            (_, 404) => Exit::NotFound,
            ("outcome-unknown" | "internal", _) => Exit::Unknown,
            (_, 500..) => Exit::Unavailable,
            _ => Exit::Refused,
        };
        let separator = if problem.detail.is_empty() { "" } else { ": " };
        let text = format!("{}{separator}{}", problem.title, problem.detail);
        Failure::new(exit, text)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

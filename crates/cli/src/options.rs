//! The arguments of the process.

mod command;
mod parser;

pub use command::{Command, DrainAction, ProfileBase};
pub use parser::options;

use std::path::PathBuf;
use std::time::Duration;

/// The parsed arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Base URLs of control replicas, in the order in which they are tried.
    pub servers: Vec<String>,
    /// Bearer token.
    pub token: Option<String>,
    /// File that holds the bearer token.
    pub token_file: Option<PathBuf>,
    /// Time for one attempt.
    pub timeout: Duration,
    /// Identifier of the change, to repeat an earlier one.
    pub request_id: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

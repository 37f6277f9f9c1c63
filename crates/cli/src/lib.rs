//! `mangospindlectl`: the command line of operators, on the administration API.
//!
//! Every change has a request identifier. A lost answer is retried under the same identifier, so
//! that no change is made twice; see [`Exit`] for what a script can conclude from the exit code.

mod client;
mod commands;
mod diff;
mod exit;
mod failure;
mod options;
mod table;
mod time_text;

pub use exit::Exit;
pub use failure::Failure;
pub use options::{Command, DrainAction, Options, ProfileBase, options};

use client::Client;
use std::process::ExitCode;

/// Parses the arguments of the process and runs the command.
pub fn run() -> ExitCode {
    let options = options().run();
    let result = actix_rt::System::new().block_on(execute(&options));
    match result {
        Ok(done) => {
            print!("{}", done.text);
            done.exit.into()
        }
        Err(failure) => {
            eprintln!("mangospindlectl: {failure}");
            failure.exit.into()
        }
    }
}

/// What a command prints, and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// Text for standard output.
    pub text: String,
    /// The exit code.
    pub exit: Exit,
}

/// Runs a command.
pub async fn execute(options: &Options) -> Result<Done, Failure> {
    let client = Client::new(options)?;
    commands::run(&client, options).await
}

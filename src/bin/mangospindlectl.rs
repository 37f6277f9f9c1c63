//! The command line of operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    mangospindle_cli::run()
}

use bpaf::{OptionParser, Parser, construct, long};
use mangospindle_settings::EntrySettings;
use miette::Result;
use std::path::PathBuf;

/// Command line of an entry.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs the entry until it is told to stop.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
    /// Checks a settings file.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
}

/// The command line parser.
pub fn command() -> OptionParser<Command> {
    let settings = || {
        long("settings")
            .help("Settings file, JSON with comments")
            .argument::<PathBuf>("FILE")
    };
    let check = {
        let settings = settings();
        construct!(Command::Check { settings })
            .to_options()
            .descr("Checks a settings file and exits")
            .command("check")
    };
    let run = {
        let settings = settings();
        construct!(Command::Run { settings })
    };
    construct!([check, run])
        .to_options()
        .descr("Entry VM: answers lookups and forwards requests to endpoints")
        .footer(
            "Example: mangospindle-entry --settings entry.jsonc\n\
             Check only: mangospindle-entry check --settings entry.jsonc",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs a command.
pub async fn run_command(command: Command) -> Result<()> {
    match command {
        Command::Run { settings } => crate::run(EntrySettings::load(&settings)?).await,
        Command::Check { settings } => {
            let checked = EntrySettings::load(&settings)?;
            println!(
                "{}: the settings of entry `{}` are valid",
                settings.display(),
                checked.name
            );
            Ok(())
        }
    }
}

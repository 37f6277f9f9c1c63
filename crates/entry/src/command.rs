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
        /// Deployment file to use in place of the control replicas.
        static_deployment: Option<PathBuf>,
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
        let static_deployment = long("static-deployment")
            .help("Take the configuration from this file; no control replica is used")
            .argument::<PathBuf>("FILE")
            .optional()
            .hide();
        construct!(Command::Run {
            settings,
            static_deployment
        })
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
        Command::Run {
            settings,
            static_deployment,
        } => crate::run(EntrySettings::load(&settings)?, static_deployment).await,
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

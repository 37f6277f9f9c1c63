use bpaf::{OptionParser, Parser, construct, long};
use mangospindle_settings::{ControlSettings, Deployment};
use mangospindle_telemetry::init_logging;
use miette::{Result, miette};
use std::path::PathBuf;

/// Command line of a control replica.
#[derive(Clone, Debug)]
pub enum Command {
    /// Runs the replica until it is told to stop.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
    /// Checks a settings file and the deployment file that it names.
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
            .descr("Checks a settings file and its deployment file, and exits")
            .command("check")
    };
    let run = {
        let settings = settings();
        construct!(Command::Run { settings })
    };
    construct!([check, run])
        .to_options()
        .descr("Control replica: replicated log, agreed state, administration API")
        .footer(
            "Example: mangospindle-control --settings control.jsonc\n\
             Check only: mangospindle-control check --settings control.jsonc",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs a command. Must be called on an actix system.
pub async fn run_command(command: Command) -> Result<()> {
    match command {
        Command::Run { settings } => {
            let settings = ControlSettings::load(&settings)?;
            let process = format!("control-{}", settings.replica);
            init_logging(&process, &settings.log_level)?;
            crate::run(settings).await
        }
        Command::Check { settings } => {
            let checked = ControlSettings::load(&settings)?;
            let topology = Deployment::load(&checked.deployment)?.topology;
            let mut domains = topology.failure_domains.iter();
            if !domains.any(|d| d.name == checked.failure_domain) {
                let domain = &checked.failure_domain;
                return Err(miette!("the deployment has no failure domain `{domain}`"));
            }
            let file = settings.display();
            println!(
                "{file}: the settings of replica {} are valid",
                checked.replica
            );
            Ok(())
        }
    }
}

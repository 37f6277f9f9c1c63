use bpaf::OptionParser;
use mangospindle_settings::{CommandHelp, ControlSettings, Deployment, SettingsCommand};
use mangospindle_telemetry::init_logging;
use miette::{Result, miette};

/// Returns the command line parser.
pub fn command() -> OptionParser<SettingsCommand> {
    SettingsCommand::parser(CommandHelp {
        description: "Control replica: replicated log, agreed state, administration API",
        footer: "Example: mangospindle-control --settings control.jsonc\n\
                 Check only: mangospindle-control check --settings control.jsonc",
        version: env!("CARGO_PKG_VERSION"),
        variable: None,
    })
}

/// Runs a command. Must be called within an actix system.
pub async fn run_command(command: SettingsCommand) -> Result<()> {
    match command {
        SettingsCommand::Run { settings } => {
            let settings = ControlSettings::load(&settings)?;
            let process = format!("control-{}", settings.replica);
            init_logging(&process, &settings.log_level)?;
            crate::run(settings).await
        }
        SettingsCommand::Check { settings } => {
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

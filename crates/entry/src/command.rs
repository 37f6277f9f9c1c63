use bpaf::OptionParser;
use mangospindle_settings::{CommandHelp, EntrySettings, SettingsCommand};
use miette::Result;

/// Returns the command line parser of the entry process.
pub fn command() -> OptionParser<SettingsCommand> {
    SettingsCommand::parser(CommandHelp {
        description: "Entry VM: answers lookups and forwards requests to endpoints",
        footer: "Example: mangospindle-entry --settings entry.jsonc\n\
                 Check only: mangospindle-entry check --settings entry.jsonc",
        version: env!("CARGO_PKG_VERSION"),
        variable: None,
    })
}

/// Runs a parsed command.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the entry process fails to start.
pub async fn run_command(command: SettingsCommand) -> Result<()> {
    match command {
        SettingsCommand::Run { settings } => crate::run(EntrySettings::load(&settings)?).await,
        SettingsCommand::Check { settings } => {
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

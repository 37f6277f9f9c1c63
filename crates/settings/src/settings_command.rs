use bpaf::{OptionParser, Parser, construct, long};
use std::path::PathBuf;

/// Command line of a process that runs from a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsCommand {
    /// Runs the process until it is told to stop.
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

/// What the help of a process says.
#[derive(Clone, Copy, Debug)]
pub struct CommandHelp {
    /// What the process does.
    pub description: &'static str,
    /// Examples.
    pub footer: &'static str,
    /// Version of the process.
    pub version: &'static str,
    /// Variable that may hold the path of the settings file.
    pub variable: Option<&'static str>,
}

impl SettingsCommand {
    /// The command line parser.
    pub fn parser(help: CommandHelp) -> OptionParser<SettingsCommand> {
        let settings = || {
            let name = match help.variable {
                Some(variable) => long("settings").env(variable),
                None => long("settings"),
            };
            name.help("Settings file, JSON with comments")
                .argument::<PathBuf>("FILE")
        };
        let check = {
            let settings = settings();
            construct!(SettingsCommand::Check { settings })
                .to_options()
                .descr("Checks a settings file and exits")
                .command("check")
        };
        let run = {
            let settings = settings();
            construct!(SettingsCommand::Run { settings })
        };
        construct!([check, run])
            .to_options()
            .descr(help.description)
            .footer(help.footer)
            .version(help.version)
    }
}

use crate::SettingsError;
use crate::source::{Source, place};
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry, as in the topology and the platform's VM list.
    pub name: String,
    /// Name of the failure domain that the VM is in; checked against the topology.
    pub failure_domain: String,
    /// Listener for callers.
    pub public_listen: SocketAddr,
    /// Listener for other entries, metrics and status.
    pub internal_listen: SocketAddr,
    /// RPC addresses of the control replicas, nearest first.
    pub control: Vec<SocketAddr>,
    /// Address of the platform's VM list, if there is one.
    #[serde(default)]
    pub vm_list: Option<String>,
    /// Addresses to use for some entries in place of those in the topology, by entry name.
    #[serde(default)]
    pub address_overrides: BTreeMap<String, SocketAddr>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

pub(crate) fn default_log_level() -> String {
    "info".to_string()
}

/// Refuses a log level that does not exist.
pub(crate) fn check_log_level(source: &Source, level: &str) -> Result<(), SettingsError> {
    match is_log_level(level) {
        true => Ok(()),
        false => Err(source.error(
            &place!["log_level"],
            format!("`{level}` is not a log level"),
            Some("use `error`, `warn`, `info`, `debug` or `trace`".to_string()),
        )),
    }
}

/// Checks a log level name.
fn is_log_level(level: &str) -> bool {
    matches!(level, "error" | "warn" | "info" | "debug" | "trace")
}

impl EntrySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_source(&Source::read(path)?)
    }

    /// Parses and checks settings; `name` stands for the file in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::from_source(&Source::from_text(name, text))
    }

    fn from_source(source: &Source) -> Result<Self, SettingsError> {
        let settings: EntrySettings = source.parse()?;
        let mut seen = HashSet::new();
        let mut listeners = [settings.public_listen, settings.internal_listen]
            .into_iter()
            .chain(settings.control.iter().copied());
        match listeners.find(|a| !seen.insert(*a)) {
            Some(address) if address == settings.internal_listen => Err(source.error(
                &place!["internal_listen"],
                format!("the address {address} is used twice"),
                Some("each listener and each control replica has an address of its own".into()),
            )),
            Some(address) => Err(source.error(
                &place!["control"],
                format!("the address {address} is used twice"),
                Some("each listener and each control replica has an address of its own".into()),
            )),
            None if settings.control.is_empty() => Err(source.error(
                &place!["control"],
                "no control replica is listed".to_string(),
                Some("list the RPC address of each control replica, nearest first".to_string()),
            )),
            None => {
                check_log_level(source, &settings.log_level)?;
                Ok(settings)
            }
        }
    }
}

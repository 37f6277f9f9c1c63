use crate::entry_settings::{check_log_level, default_log_level};
use crate::source::{Source, place};
use crate::{SettingsError, TokenSettings};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A control replica and its RPC address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAddress {
    /// Number of the replica.
    pub replica: u16,
    /// RPC address, as seen from this VM.
    pub address: SocketAddr,
}

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Number of this replica.
    pub replica: u16,
    /// Name of the failure domain that the VM is in.
    pub failure_domain: String,
    /// Directory for the state that must survive.
    pub data_dir: PathBuf,
    /// RPC listener.
    pub rpc_listen: SocketAddr,
    /// Listener of the administration API.
    pub admin_listen: SocketAddr,
    /// All replicas, this one included.
    pub replicas: Vec<ReplicaAddress>,
    /// File with the first configuration; used while there is none.
    pub deployment: PathBuf,
    /// Address of the platform's VM list, if there is one.
    #[serde(default)]
    pub vm_list: Option<String>,
    /// Tokens for the administration API. Without any, it is open on loopback only.
    #[serde(default)]
    pub tokens: Vec<TokenSettings>,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

impl ControlSettings {
    /// Reads and checks a settings file. Relative paths in it are relative to its directory.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut settings = Self::from_source(&Source::read(path)?)?;
        if let Some(base) = path.parent() {
            settings.data_dir = base.join(&settings.data_dir);
            settings.deployment = base.join(&settings.deployment);
        }
        Ok(settings)
    }

    /// Parses and checks settings; `name` stands for the file in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::from_source(&Source::from_text(name, text))
    }

    fn from_source(source: &Source) -> Result<Self, SettingsError> {
        let settings: ControlSettings = source.parse()?;
        let mut replicas = HashSet::new();
        let mut addresses = HashSet::new();
        let duplicate =
            |r: &ReplicaAddress| !replicas.insert(r.replica) || !addresses.insert(r.address);
        if let Some(i) = settings.replicas.iter().position(duplicate) {
            return Err(source.error(
                &place!["replicas", i],
                "a replica number or address is used twice".to_string(),
                None,
            ));
        }
        if settings.replicas.len().is_multiple_of(2) {
            return Err(source.error(
                &place!["replicas"],
                format!("{} replicas are listed", settings.replicas.len()),
                Some("use an odd number; one more does not survive more losses".to_string()),
            ));
        }
        if !replicas.contains(&settings.replica) {
            return Err(source.error(
                &place!["replica"],
                format!("replica {} is not in `replicas`", settings.replica),
                Some("list all replicas, this one included".to_string()),
            ));
        }
        if settings.tokens.is_empty() && !settings.admin_listen.ip().is_loopback() {
            return Err(source.error(
                &place!["admin_listen"],
                "the administration API would be open to the network".to_string(),
                Some("list `tokens`, or listen on a loopback address".to_string()),
            ));
        }
        let hash = |t: &TokenSettings| {
            t.sha256.len() != 64 || !t.sha256.bytes().all(|b| b.is_ascii_hexdigit())
        };
        if let Some(i) = settings.tokens.iter().position(hash) {
            return Err(source.error(
                &place!["tokens", i, "sha256"],
                "not a SHA-256 hash".to_string(),
                Some("64 hexadecimal digits, as `sha256sum` prints them".to_string()),
            ));
        }
        check_log_level(source, &settings.log_level)?;
        Ok(settings)
    }
}

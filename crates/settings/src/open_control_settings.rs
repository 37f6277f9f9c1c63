use crate::SettingsError;
use crate::duration_text::DurationText;
use crate::entry_settings::{check_log_level, default_log_level};
use crate::source::{Source, place};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the platform lists endpoints.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReaderFile {
    /// Address of the list.
    pub address: SocketAddr,
    /// Calls a second that the list accepts from all processes together.
    pub max_rate: f64,
}

/// Settings of a control replica of a deployment whose replicas are not listed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenControlFile {
    /// Name of the VM.
    pub name: String,
    /// Address of the VM, from which the number of the replica follows.
    pub address: Ipv4Addr,
    /// Listener for operators.
    pub operator_listen: SocketAddr,
    /// Listener for callers that ask where to connect.
    pub directory_listen: SocketAddr,
    /// Listener for metrics.
    pub metrics_listen: SocketAddr,
    /// Addresses of some control replicas. Only the hosts count: RPC has the port below.
    pub seeds: Vec<SocketAddr>,
    /// Port range for traffic between processes; RPC uses the first.
    pub internal_ports: (u16, u16),
    /// RPC listener, if it is not the first internal port of `address`: behind a forwarder that
    /// other processes reach there.
    #[serde(default)]
    pub rpc_listen: Option<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Number of control replicas that may be lost at once, if it is known. Enough voters are kept
    /// for it when replicas are replaced.
    #[serde(default)]
    pub tolerated_losses: Option<u8>,
    /// Directory for the state that must survive.
    pub data_dir: PathBuf,
    /// Region of each failure domain. If none are named, the list of endpoints is read in one go.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The platform's list of endpoints.
    pub endpoints: ReaderFile,
    /// How long callers may keep an answer about where to connect.
    lookup_lifetime: DurationText,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

impl OpenControlFile {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_source(&Source::read(path)?)
    }

    /// Parses and checks settings; `name` stands for the file in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::from_source(&Source::from_text(name, text))
    }

    /// How long callers may keep an answer about where to connect.
    pub fn lookup_lifetime(&self) -> Duration {
        self.lookup_lifetime.0
    }

    /// Hosts of the seeds.
    pub fn seed_hosts(&self) -> Vec<Ipv4Addr> {
        let hosts = self.seeds.iter().map(SocketAddr::ip);
        hosts
            .filter_map(|ip| match ip {
                std::net::IpAddr::V4(ip) => Some(ip),
                std::net::IpAddr::V6(_) => None,
            })
            .collect()
    }

    fn from_source(source: &Source) -> Result<Self, SettingsError> {
        let settings: OpenControlFile = source.parse()?;
        match () {
            () if settings.seed_hosts().is_empty() => Err(source.error(
                &place!["seeds"],
                "no replica with an IPv4 address is listed".to_string(),
                Some("list the address of at least one control replica".to_string()),
            )),
            () => {
                check_log_level(source, &settings.log_level)?;
                Ok(settings)
            }
        }
    }
}

use crate::SettingsError;
use crate::duration_text::DurationText;
use crate::entry_settings::{check_log_level, default_log_level};
use crate::source::{Source, place};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of an entry for routed hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayFile {
    /// Name of the VM.
    pub name: String,
    /// Name of the failure domain that the VM is in.
    pub failure_domain: String,
    /// Region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Listener for callers.
    pub public_listen: SocketAddr,
    /// Listener for readiness checks.
    pub ready_listen: SocketAddr,
    /// Listener for metrics.
    pub metrics_listen: SocketAddr,
    /// Addresses of some control replicas. Only the hosts count: RPC has the port below.
    pub control: Vec<SocketAddr>,
    /// Port range for traffic between processes. Control replicas serve RPC on the first, and entries
    /// relayed requests.
    pub internal_ports: (u16, u16),
    /// Second sends that all entries together may make, per request.
    pub retry_ratio: f64,
    /// Second sends that all entries together may make in any case, in each budget window.
    pub retry_slack: f64,
    /// Time from the signal to stop until the process is killed.
    stop_time: DurationText,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

impl GatewayFile {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_source(&Source::read(path)?)
    }

    /// Parses and checks settings; `name` stands for the file in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::from_source(&Source::from_text(name, text))
    }

    /// Time from the signal to stop until the process is killed.
    pub fn stop_time(&self) -> Duration {
        self.stop_time.0
    }

    /// Listener for requests that other entries relay.
    pub fn relay_listen(&self) -> SocketAddr {
        SocketAddr::new(self.public_listen.ip(), self.internal_ports.0)
    }

    /// RPC addresses of the control replicas that are known.
    pub fn control_rpc(&self) -> Vec<SocketAddr> {
        let port = self.internal_ports.0;
        let hosts = self.control.iter().map(SocketAddr::ip);
        hosts.map(|ip| SocketAddr::new(ip, port)).collect()
    }

    fn from_source(source: &Source) -> Result<Self, SettingsError> {
        let settings: GatewayFile = source.parse()?;
        let domain = &settings.failure_domain;
        match () {
            () if !settings.regions.contains_key(domain) => Err(source.error(
                &place!["failure_domain"],
                format!("the failure domain `{domain}` has no region"),
                Some("list it in `regions`".to_string()),
            )),
            () if settings.control.is_empty() => Err(source.error(
                &place!["control"],
                "no control replica is listed".to_string(),
                Some("list the address of at least one control replica".to_string()),
            )),
            () => {
                check_log_level(source, &settings.log_level)?;
                Ok(settings)
            }
        }
    }
}

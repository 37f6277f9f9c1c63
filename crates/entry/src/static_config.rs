//! A configuration from a deployment file, without control replicas.

use mangospindle_settings::Deployment;
use mangospindle_state::{Config, EntryStatus, Ownership, Takeover, preferred_owner};

/// Builds a configuration in which all entries are active and own the endpoints they would be
/// given by the control replicas.
pub(crate) fn static_config(deployment: Deployment) -> Config {
    let mut config = Config::bootstrap(deployment.topology, deployment.profiles);
    for status in &mut config.entry_status {
        *status = EntryStatus::Active { incarnation: 0 };
    }
    for id in config.topology.endpoint_ids() {
        config.ownership[id.index()] = Ownership {
            owner: preferred_owner(&config, id),
            epoch: 1,
            takeover: Takeover::Clean,
        };
    }
    config
}

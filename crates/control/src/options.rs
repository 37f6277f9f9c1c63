use mangospindle_consensus::ReplicaId;
use mangospindle_settings::ControlSettings;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Which replicas there are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaSet {
    /// Exactly the listed ones.
    Listed(BTreeMap<ReplicaId, SocketAddr>),
    /// Replicas join at addresses that are not known before. A replica's number is its IPv4
    /// address, and all use one port.
    Open {
        /// Replicas that form the cluster at its first start, and that later ones ask to join.
        seeds: Vec<Ipv4Addr>,
        /// Port of the RPC listeners.
        port: u16,
        /// Whether the system starts for the first time.
        may_form: bool,
    },
}

impl ReplicaSet {
    /// Number of the replica at an address, in an open deployment.
    pub fn replica_id(address: Ipv4Addr) -> ReplicaId {
        ReplicaId(u32::from(address))
    }

    /// Replicas that are known before any message arrives.
    pub(crate) fn initial_ids(&self) -> Vec<ReplicaId> {
        match self {
            ReplicaSet::Listed(replicas) => replicas.keys().copied().collect(),
            ReplicaSet::Open { seeds, .. } => seeds.iter().map(|s| Self::replica_id(*s)).collect(),
        }
    }

    /// Address of a replica's RPC listener.
    pub(crate) fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        match self {
            ReplicaSet::Listed(replicas) => replicas.get(&replica).copied(),
            ReplicaSet::Open { port, .. } => {
                Some(SocketAddr::new(Ipv4Addr::from(replica.0).into(), *port))
            }
        }
    }
}

/// Where the first configuration comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InitialConfig {
    /// A deployment file.
    File(PathBuf),
    /// There is no topology: routes are put by operators, and endpoints are listed by the platform.
    Empty,
}

/// What a replica is started with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOptions {
    /// Number of this replica.
    pub replica: ReplicaId,
    /// Directory for the state that must survive.
    pub data_dir: PathBuf,
    /// RPC listener.
    pub rpc_listen: SocketAddr,
    /// The replicas.
    pub replicas: ReplicaSet,
    /// The first configuration.
    pub initial_config: InitialConfig,
}

impl From<&ControlSettings> for ReplicaOptions {
    fn from(settings: &ControlSettings) -> Self {
        let listed = settings.replicas.iter();
        ReplicaOptions {
            replica: ReplicaId(settings.replica.into()),
            data_dir: settings.data_dir.clone(),
            rpc_listen: settings.rpc_listen,
            replicas: ReplicaSet::Listed(
                listed
                    .map(|r| (ReplicaId(r.replica.into()), r.address))
                    .collect(),
            ),
            initial_config: InitialConfig::File(settings.deployment.clone()),
        }
    }
}

use mangospindle_consensus::ReplicaId;
use mangospindle_settings::ControlSettings;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// How the replicas of a deployment are found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaSet {
    /// A fixed list of replicas and the addresses of their RPC listeners.
    Listed(BTreeMap<ReplicaId, SocketAddr>),
    /// Replicas join at addresses that are not known in advance. The identifier of a replica is its
    /// IPv4 address, and all replicas use the same port.
    Open {
        /// Replicas that form the cluster at its first start. Replicas that start later ask the
        /// seeds to join.
        seeds: Vec<Ipv4Addr>,
        /// Port of the RPC listener of every replica.
        port: u16,
        /// Whether this replica may form a new cluster with the seeds, because the system starts
        /// for the first time.
        may_form: bool,
        /// Number of replicas that may be lost at once, if the deployment states it.
        tolerated_losses: Option<usize>,
    },
}

impl ReplicaSet {
    /// Returns the identifier of the replica at an address in an open deployment.
    pub fn replica_id(address: Ipv4Addr) -> ReplicaId {
        ReplicaId(u32::from(address))
    }

    /// Returns the replicas that are known before any message arrives.
    pub(crate) fn initial_ids(&self) -> Vec<ReplicaId> {
        match self {
            ReplicaSet::Listed(replicas) => replicas.keys().copied().collect(),
            ReplicaSet::Open { seeds, .. } => seeds.iter().map(|s| Self::replica_id(*s)).collect(),
        }
    }

    /// Returns the address of a replica's RPC listener, or `None` if the replica is not listed.
    pub(crate) fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        match self {
            ReplicaSet::Listed(replicas) => replicas.get(&replica).copied(),
            ReplicaSet::Open { port, .. } => {
                Some(SocketAddr::new(Ipv4Addr::from(replica.0).into(), *port))
            }
        }
    }
}

/// Source of the initial configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InitialConfig {
    /// A deployment file.
    File(PathBuf),
    /// An empty topology: operators set the routes, and the platform lists the endpoints.
    Empty,
}

/// Options for starting a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOptions {
    /// Identifier of this replica.
    pub replica: ReplicaId,
    /// Directory for the persistent state.
    pub data_dir: PathBuf,
    /// Address of the RPC listener.
    pub rpc_listen: SocketAddr,
    /// The replicas of the deployment.
    pub replicas: ReplicaSet,
    /// Source of the initial configuration.
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

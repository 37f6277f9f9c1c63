use mangospindle_dispatch::DispatchSettings;
use std::net::SocketAddr;
use std::time::Duration;

/// What a [`Gateway`](crate::Gateway) is started with.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub name: String,
    /// Listener for callers.
    pub public_listen: SocketAddr,
    /// RPC addresses of some control replicas; the others are learned from them.
    pub control_replicas: Vec<SocketAddr>,
    /// Place of this entry, and budgets.
    pub dispatch: DispatchSettings,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace_period: Duration,
}

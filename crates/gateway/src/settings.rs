use mangospindle_dispatch::DispatchSettings;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`Gateway`](crate::Gateway).
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub name: String,
    /// Address on which the gateway listens for callers.
    pub public_listen: SocketAddr,
    /// Address on which the gateway listens for requests that other entries relay. All entries use the
    /// same port, on the host of their public address.
    pub relay_listen: SocketAddr,
    /// RPC addresses of one or more control replicas; the others are discovered through them.
    pub control_replicas: Vec<SocketAddr>,
    /// Settings of the dispatcher: location of this entry and retry budgets.
    pub dispatch: DispatchSettings,
    /// Time from the stop signal until the process is killed.
    pub stop_grace_period: Duration,
}

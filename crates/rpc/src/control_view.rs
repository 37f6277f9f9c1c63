use mangospindle_state::Config;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A [`ControlClient`](crate::ControlClient)'s view of the replicated state.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// Latest configuration. Its version never decreases.
    pub config: Arc<Config>,
    /// Time on the client's clock at which the configuration was last known to be current. `None`
    /// until a replica with a confirmed state has replied.
    pub confirmed_at: Option<Duration>,
    /// Replica that the client is currently connected to, if it is not cut off.
    pub replica: Option<SocketAddr>,
}

impl ControlView {
    /// Time since the configuration was last confirmed as current. `None` if it never was.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}

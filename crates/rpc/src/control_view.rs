use mangospindle_state::Config;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a [`ControlClient`](crate::ControlClient) knows about the replicated state.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// The configuration; its version never goes back.
    pub config: Arc<Config>,
    /// When, on the client's clock, the configuration was last known to be current. `None` until a
    /// replica with a confirmed state has answered.
    pub confirmed_at: Option<Duration>,
    /// The replica that answers at present.
    pub replica: Option<SocketAddr>,
}

impl ControlView {
    /// How long the configuration has been unconfirmed.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }
}

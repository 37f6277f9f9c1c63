use crate::EndpointKey;
use std::net::SocketAddr;

/// State of the health check of an endpoint that was ejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthCheckState {
    /// No request depends on a health check.
    #[default]
    NotNeeded,
    /// A non-idempotent request could have used the endpoint.
    Wanted,
    /// The check was sent.
    Running,
    /// The endpoint passed the check and may serve one non-idempotent request as a probe.
    Passed,
}

/// A health check to send to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthCheck {
    /// The endpoint to pass to
    /// [`Dispatcher::record_health_check`](crate::Dispatcher::record_health_check).
    pub endpoint: EndpointKey,
    /// Address at which the endpoint listens.
    pub address: SocketAddr,
    /// Instance identifier that the endpoint must have.
    pub instance: String,
    /// Path of the health check.
    pub path: String,
}

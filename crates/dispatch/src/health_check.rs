use crate::{EndpointKey, LoadReading};
use std::net::SocketAddr;
use std::time::Duration;

/// State of the health check of an endpoint that was ejected or may have restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum HealthCheckState {
    /// No request depends on a health check.
    #[default]
    NotNeeded,
    /// A request could have used the endpoint.
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

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthReport {
    /// The expected instance responded.
    Answered {
        /// Whether it considers itself healthy.
        healthy: bool,
        /// How long it stays cold, if it tells that.
        cold_for: Option<Duration>,
    },
    /// The endpoint had no room for the check. This says nothing about its health or a cold start.
    Rejected {
        /// Load that the endpoint reported.
        load: Option<LoadReading>,
    },
    /// Another endpoint now listens at the address.
    Misdirected,
    /// There was no response, or that of another instance.
    Unanswered,
}

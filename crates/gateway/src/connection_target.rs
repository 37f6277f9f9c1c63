use mangospindle_dispatch::EndpointKey;
use std::net::SocketAddr;

/// What a pooled connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ConnectionTarget {
    Endpoint(EndpointKey),
    /// Relay listener of another entry.
    Entry(SocketAddr),
}

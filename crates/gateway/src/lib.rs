//! HTTP gateway for routed hosts: reads requests from callers, dispatches them to endpoints and
//! returns the responses.
//!
//! A request is buffered in full, routed by host and path, and sent to the endpoint that the
//! [`Dispatcher`] chooses. It is retried on another endpoint only if it provably did not run on the
//! first one, or if the route marks its requests as idempotent. Pipelined requests on one
//! connection are served concurrently and answered in order.
//!
//! A [`Protocol`] defines the names and formats of the headers between callers, entries and
//! endpoints.
//!
//! Invariants:
//! - A request that is not idempotent is retried only after proof that it did not run. It is
//!   refused as "not run" only if there is such proof for every attempt.
//! - A response is forwarded in full, or truncated in a way that the caller can detect.
//! - When a caller disconnects, its requests in progress are cancelled.
//!
//! [`Dispatcher`]: mangospindle_dispatch::Dispatcher

mod access;
mod attempt;
mod connect;
mod connection;
mod connection_check;
mod connection_target;
mod control_sync;
mod drain;
mod forward;
mod gateway;
mod health_checks;
mod idle_connections;
mod inbound_request;
mod metrics;
mod origin;
mod path_probes;
mod protocol;
mod relay;
mod requests_in_progress;
mod response;
mod restart_reports;
mod send_guard;
mod settings;
mod usage_exchange;
mod writer;

pub use gateway::Gateway;
pub use protocol::{Credentials, Protocol, RequestMetadata, ResponseMetadata};
pub use settings::GatewaySettings;

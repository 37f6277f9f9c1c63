//! The entry for routed hosts: reads callers' requests, dispatches them to endpoints and returns
//! the answers.
//!
//! A request is read whole, routed by host and path, and sent to the endpoint that the
//! [`Dispatcher`] chooses. Another endpoint gets it only if the first one proved that it did not run
//! the request, or if the route says that it may run more than once. Requests that arrive on one
//! connection without waiting for answers are served at the same time and answered in order.
//!
//! What the headers between callers, entries and endpoints are called is decided by a [`Protocol`].
//!
//! Invariants:
//! - A request that may run only once is sent again only after a proof that it did not run, and is
//!   refused as "not run" only with such a proof for every send.
//! - An answer is passed on whole, or its end is cut so that it cannot look complete.
//! - A caller that disconnects cancels the work behind its requests.
//!
//! [`Dispatcher`]: mangospindle_dispatch::Dispatcher

mod attempt;
mod connect;
mod connection;
mod drain;
mod follow;
mod forward;
mod gateway;
mod inbound;
mod metrics;
mod protocol;
mod reply;
mod send_guard;
mod settings;
mod writer;

pub use gateway::Gateway;
pub use protocol::{Protocol, RequestMetadata, ResponseMetadata};
pub use settings::GatewaySettings;

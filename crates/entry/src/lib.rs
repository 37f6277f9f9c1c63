//! The entry VM: lookup, forwarding and ownership of endpoints.
//!
//! A request takes this way: `routes` finds the handler, `public_api` reads the request, `ingress`
//! chooses owners, `remote` or `admit` and `owner` get an answer from an endpoint through
//! `upstream_call` and `client`, and `proxy_response` passes it on.
//!
//! Invariants:
//! - A caller gets the complete answer to its own request, an error answer, or a closed connection.
//! - A request that may have reached an endpoint is sent again only if it is a read.
//! - A slot of an endpoint is in use until the endpoint has answered, closed the connection, or
//!   passed the request's deadline.
//! - The configuration never goes back to a lower version.

mod actions;
mod admit;
mod attempt_guard;
mod client;
mod command;
mod config_api;
mod connect;
mod control;
mod control_handle;
mod drain;
mod drain_state;
mod exchange_body;
mod fetch;
mod follow;
mod headers;
mod health;
mod in_progress_guard;
mod inbound;
mod ingress;
mod internal_api;
mod link_shaping;
mod liveness;
mod lookup;
mod metrics;
mod outbound_request;
mod owner;
mod permit_guard;
mod persist;
mod probe;
mod problem;
mod proxy_response;
mod public_api;
mod queue;
mod remote;
mod request_context;
mod request_error;
mod request_traces;
mod reservations;
mod respond;
mod routes;
mod routing_state;
mod run;
mod server;
mod server_state;
mod slot_release;
mod status_api;
mod target;
mod tracked_body;
mod upstream_call;
mod vm_list;

pub use command::{command, run_command};
pub use control::Control;
pub use run::run;
pub use server::EntryServer;

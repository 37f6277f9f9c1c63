//! The entry VM: answers lookups, forwards requests and owns endpoints.
//!
//! A request passes through these modules: `routes` selects the handler, `public_api` parses the
//! request, `ingress` selects the owner, `remote` or `admit` and `owner` obtain a response from an
//! endpoint through `upstream_call` and `client`, and `proxy_response` passes the response to the
//! caller.
//!
//! Invariants:
//! - A caller gets the complete response to its own request, an error response, or a closed
//!   connection.
//! - A request that may have reached an endpoint is resent only if it is a read.
//! - A slot of an endpoint stays in use until the endpoint has responded or closed the connection,
//!   or until the deadline of the request has passed.
//! - The configuration version never decreases.

mod actions;
mod admit;
mod attempt_guard;
mod client;
mod command;
mod config_api;
mod connect;
mod control_handle;
mod control_plane;
mod control_sync;
mod drain;
mod drain_state;
mod exchange_body;
mod fetch;
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
mod probe;
mod problem;
mod propose_with_retry;
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
pub use control_plane::ControlPlane;
pub use run::run;
pub use server::EntryServer;

//! The entry VM: answers lookups, forwards requests and owns endpoints.
//!
//! A request passes through these modules: `routes` selects the handler, `public_api` parses the
//! request, `ingress` selects the owner, `remote` or `admit` and `owner` obtain a response from an
//! endpoint through `call` and `client`, and `answer` passes the response to the caller.
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
mod answer;
mod attempt_guard;
mod call;
mod client;
mod command;
mod config_api;
mod connect;
mod control_handle;
mod control_plane;
mod control_sync;
mod decisions;
mod drain;
mod drain_state;
mod exchange_body;
mod explain;
mod fetch;
mod headers;
mod health;
mod in_progress;
mod inbound;
mod ingress;
mod internal_api;
mod linger;
mod liveness;
mod lookup;
mod metrics;
mod outbound;
mod owner;
mod paced;
mod permit_guard;
mod probe;
mod problem;
mod propose_with_retry;
mod public_api;
mod queue;
mod refusal;
mod remote;
mod request_context;
mod reservations;
mod respond;
mod routes;
mod run;
mod server;
mod shared;
mod status_api;
mod target;
mod tracked_body;
mod vm_list;

pub use command::{command, run_command};
pub use control_plane::ControlPlane;
pub use run::run;
pub use server::EntryServer;

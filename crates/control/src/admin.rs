//! The administration API: HTTP and JSON for operators, on every control replica.
//!
//! The handlers reach the replica through [`AdminBackend`] only. Every change becomes one
//! [`Command`](mangospindle_state::Command); its `Idempotency-Key` is the request identifier, so
//! that a resend gets the first result. [`ROUTES`] is the one list of paths, methods and roles.

mod backend;
mod caller;
mod change_request;
mod context;
mod handlers;
mod role;
mod routes;
mod status_report;
mod tokens;
pub mod wire;

pub use backend::AdminBackend;
pub use context::AdminContext;
pub use role::Role;
pub use routes::{MAX_BODY_BYTES, Operation, ROUTES, RouteInfo, configure};
pub use status_report::{DrainReport, EntryReport, ReplicaReport, ReplicaRole, StatusReport};
pub use tokens::{TokenError, Tokens};

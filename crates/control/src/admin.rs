//! The administration API: HTTP and JSON for operators, served by every control replica.
//!
//! The handlers access the replica only through [`AdminBackend`]. Every change becomes one
//! [`Command`](mangospindle_state::Command). Its request identifier is the `Idempotency-Key` of the
//! HTTP request, so a retry returns the result of the first attempt. [`ROUTES`] is the single
//! definition of paths, methods and roles.

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
pub use routes::{MAX_BODY_BYTES, Operation, ROUTES, RouteInfo, configure, configure_workspaces};
pub use status_report::{DrainReport, EntryReport, ReplicaReport, ReplicaRole, StatusReport};
pub use tokens::{TokenError, Tokens};

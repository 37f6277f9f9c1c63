//! Handlers of the administration API, one module per resource.

pub(super) mod actions;
pub(super) mod audit;
pub(super) mod endpoints;
pub(super) mod entries;
pub(super) mod health;
pub(super) mod profiles;
pub(super) mod regions;
pub(super) mod services;
pub(super) mod status;
pub(super) mod workspaces;

use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;

/// Creates the error response for a path that refers to an unknown resource.
fn not_found(what: &str, name: &str) -> Problem {
    Problem::new(ErrorKind::NotFound, format!("there is no {what} `{name}`"))
}

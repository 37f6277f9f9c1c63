//! Serves the configuration to entries that cannot reach a control replica.

use crate::problem::problem;
use crate::server_state::ServerState;
use actix_web::{HttpResponse, web};
use mangospindle_state::Config;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Query of a configuration request.
#[derive(Debug, Deserialize)]
pub(crate) struct ConfigQuery {
    /// Configuration version of the requesting entry.
    #[serde(default)]
    after: u64,
}

/// Response to a configuration request, encoded with postcard.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfigResponse {
    /// Configuration version of the responding entry.
    pub(crate) version: u64,
    /// Time since the version was last confirmed as current, in milliseconds. `None` if it never
    /// was.
    pub(crate) confirmed_age_ms: Option<u64>,
    /// The configuration, if it is newer than that of the requesting entry.
    pub(crate) config: Option<Config>,
}

/// Returns the version and, if the requesting entry's version is older, the configuration.
pub(crate) async fn config(
    shared: web::Data<Arc<ServerState>>,
    query: ConfigQuery,
) -> HttpResponse {
    let response = shared.with_routing(|state, now| ConfigResponse {
        version: state.config.version,
        confirmed_age_ms: state
            .confirmed_at
            .map(|at| now.saturating_sub(at).as_millis() as u64),
        config: (state.config.version > query.after).then(|| (*state.config).clone()),
    });
    match response.map(|response| postcard::to_stdvec(&response)) {
        Ok(Ok(bytes)) => HttpResponse::Ok().body(bytes),
        Ok(Err(e)) => HttpResponse::InternalServerError().body(e.to_string()),
        Err(error) => problem(&error, ""),
    }
}

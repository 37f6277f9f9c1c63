//! Passing the configuration to entries that cannot reach a control replica.

use crate::problem::problem;
use crate::server_state::ServerState;
use actix_web::{HttpResponse, web};
use mangospindle_state::Config;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Query for a configuration.
#[derive(Debug, Deserialize)]
pub(crate) struct ConfigQuery {
    /// Version that the asking entry has.
    #[serde(default)]
    after: u64,
}

/// Answer with a configuration.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ConfigAnswer {
    /// Version of the answering entry.
    pub(crate) version: u64,
    /// How long ago the version was known to be current, in milliseconds; `None` if never.
    pub(crate) confirmed_age_ms: Option<u64>,
    /// The configuration, if it is newer than the asking entry's.
    pub(crate) config: Option<Config>,
}

/// Tells the configuration of this entry.
pub(crate) async fn config(
    shared: web::Data<Arc<ServerState>>,
    query: ConfigQuery,
) -> HttpResponse {
    let answer = shared.with_routing(|d, now| ConfigAnswer {
        version: d.config.version,
        confirmed_age_ms: d
            .confirmed_at
            .map(|at| now.saturating_sub(at).as_millis() as u64),
        config: (d.config.version > query.after).then(|| (*d.config).clone()),
    });
    match answer.map(|answer| postcard::to_stdvec(&answer)) {
        Ok(Ok(bytes)) => HttpResponse::Ok().body(bytes),
        Ok(Err(e)) => HttpResponse::InternalServerError().body(e.to_string()),
        Err(refusal) => problem(&refusal, ""),
    }
}

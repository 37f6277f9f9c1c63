//! Which entries a client should use.

use crate::drain_state::DrainPhase;
use crate::problem::problem;
use crate::request_context::request_id;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use actix_web::http::header::CACHE_CONTROL;
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_model::ErrorKind;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// How long callers may use the answer to a lookup.
pub(crate) const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Query of a lookup.
#[derive(Debug, Deserialize)]
pub(crate) struct LookupQuery {
    service: String,
    /// Address of the client; the caller's own address if it is missing.
    client: Option<IpAddr>,
}

/// Answer to a lookup.
#[derive(Debug, Serialize)]
struct LookupAnswer {
    service: String,
    home_region: String,
    /// Whether a configured client range contains the client.
    known_client: bool,
    /// Best entry first.
    entries: Vec<LookupEntry>,
    ttl_ms: u64,
    config_version: u64,
}

/// One entry in the answer to a lookup.
#[derive(Debug, Serialize)]
struct LookupEntry {
    name: String,
    address: SocketAddr,
    region: String,
}

/// Address of the client of a request.
pub(crate) fn client_address(req: &HttpRequest) -> Result<IpAddr, RequestError> {
    match req.peer_addr() {
        Some(address) => Ok(address.ip().to_canonical()),
        None => Err(RequestError::new(
            ErrorKind::BadRequest,
            "no client address",
        )),
    }
}

/// Answers a lookup.
pub(crate) fn lookup(
    shared: web::Data<Arc<ServerState>>,
    req: &HttpRequest,
    query: LookupQuery,
) -> HttpResponse {
    match answer(&shared, req, query) {
        Ok(answer) => {
            shared.metrics.lookups.inc();
            let max_age = format!("max-age={}", LOOKUP_TTL.as_secs());
            HttpResponse::Ok()
                .insert_header((CACHE_CONTROL, max_age))
                .json(answer)
        }
        Err(refusal) => problem(&refusal, &request_id(req)),
    }
}

fn answer(
    shared: &ServerState,
    req: &HttpRequest,
    query: LookupQuery,
) -> Result<LookupAnswer, RequestError> {
    let client = match query.client {
        Some(client) => client.to_canonical(),
        None => client_address(req)?,
    };
    let leaving = shared.drain.phase() != DrainPhase::Serving;
    let found = shared.with_routing(|d, _| {
        let topology = &d.config.topology;
        let service = topology.service_by_name(&query.service)?;
        let home = d.client_table.lookup(client);
        let chosen = d.router.lookup(&home, service);
        // A stopping entry leaves its own answers before the agreed state says so.
        let others = chosen.len() > 1;
        let entries = chosen
            .into_iter()
            .filter(|id| !(leaving && others && *id == d.entry));
        Some(LookupAnswer {
            service: query.service.clone(),
            home_region: topology.regions.get(home.region.index())?.name.clone(),
            known_client: home.known,
            entries: entries
                .map(|id| LookupEntry {
                    name: topology.entries[id.index()].name.clone(),
                    address: topology.entries[id.index()].public_address,
                    region: topology.regions[topology.entry_region(id).index()]
                        .name
                        .clone(),
                })
                .collect(),
            ttl_ms: LOOKUP_TTL.as_millis() as u64,
            config_version: d.config.version,
        })
    })?;
    found.ok_or_else(|| ErrorKind::UnknownService.into())
}

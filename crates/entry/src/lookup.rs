//! Lookups: returns the entries that a client should use, in order of preference.

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

/// Time for which callers may cache a lookup response.
pub(crate) const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Query of a lookup request.
#[derive(Debug, Deserialize)]
pub(crate) struct LookupQuery {
    service: String,
    /// Address of the client. Defaults to the address of the caller.
    client: Option<IpAddr>,
}

/// Response to a lookup.
#[derive(Debug, Serialize)]
struct LookupResponse {
    service: String,
    home_region: String,
    /// Whether a configured client range contains the client.
    known_client: bool,
    /// Entries in order of preference.
    entries: Vec<LookupEntry>,
    ttl_ms: u64,
    config_version: u64,
}

/// An entry in a lookup response.
#[derive(Debug, Serialize)]
struct LookupEntry {
    name: String,
    address: SocketAddr,
    region: String,
}

/// Returns the address of the caller, with IPv4-mapped IPv6 addresses converted to IPv4.
pub(crate) fn client_address(req: &HttpRequest) -> Result<IpAddr, RequestError> {
    match req.peer_addr() {
        Some(address) => Ok(address.ip().to_canonical()),
        None => Err(RequestError::new(
            ErrorKind::BadRequest,
            "no client address",
        )),
    }
}

/// Handles `GET /v1/lookup`.
pub(crate) fn lookup(
    shared: web::Data<Arc<ServerState>>,
    req: &HttpRequest,
    query: LookupQuery,
) -> HttpResponse {
    match build_response(&shared, req, query) {
        Ok(response) => {
            shared.metrics.lookups.inc();
            let max_age = format!("max-age={}", LOOKUP_TTL.as_secs());
            HttpResponse::Ok()
                .insert_header((CACHE_CONTROL, max_age))
                .json(response)
        }
        Err(error) => problem(&error, &request_id(req)),
    }
}

fn build_response(
    shared: &ServerState,
    req: &HttpRequest,
    query: LookupQuery,
) -> Result<LookupResponse, RequestError> {
    let client = match query.client {
        Some(client) => client.to_canonical(),
        None => client_address(req)?,
    };
    let draining = shared.drain.phase() != DrainPhase::Serving;
    let found = shared.with_routing(|state, _| {
        let topology = &state.config.topology;
        let service = topology.service_by_name(&query.service)?;
        let home = state.client_table.lookup(client);
        let candidates = state.router.lookup(&home, service);
        // A draining entry omits itself before the replicated state marks it as leaving, unless it
        // is the only candidate.
        let has_alternative = candidates.len() > 1;
        let entries = candidates
            .into_iter()
            .filter(|id| !(draining && has_alternative && *id == state.entry));
        Some(LookupResponse {
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
            config_version: state.config.version,
        })
    })?;
    found.ok_or_else(|| ErrorKind::UnknownService.into())
}

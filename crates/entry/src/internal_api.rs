//! Handlers of the internal API, which other entries call.

use crate::admit::admit;
use crate::drain_state::DrainPhase;
use crate::headers::{self, HOME_REGION, INGRESS_ENTRY, PERMIT};
use crate::in_progress_guard::InProgressGuard;
use crate::inbound;
use crate::link_shaping::shape_to_link_rate;
use crate::owner::forward_to_endpoint;
use crate::problem::problem;
use crate::proxy_response::ProxyResponse;
use crate::remote::{FORWARD_PATH, RESERVE_PATH};
use crate::request_context::{self, RequestContext};
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::reservations::RESERVATION_TTL;
use crate::respond::respond;
use crate::server_state::ServerState;
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_model::{ErrorKind, RegionId, RequestClass};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Response to a probe.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ProbeResponse {
    /// Whether the entry is draining.
    pub(crate) draining: bool,
    /// Version of the configuration in force.
    pub(crate) config_version: u64,
    /// Free slots of the endpoints that the entry owns, by service name.
    pub(crate) free_slots: BTreeMap<String, u32>,
}

/// Serves a request that another entry forwarded.
pub(crate) async fn forward(
    shared: web::Data<Arc<ServerState>>,
    req: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let id = request_context::request_id(&req);
    let count = InProgressGuard::new(&shared);
    let result = serve_forwarded(&shared, &id, &req, payload).await;
    respond(&shared, &id, count, result)
}

async fn serve_forwarded(
    shared: &Arc<ServerState>,
    id: &str,
    req: &HttpRequest,
    payload: web::Payload,
) -> Result<ProxyResponse, RequestError> {
    let (cx, name, home) = parse_request(shared, id, req, FORWARD_PATH)?;
    let trace_event = TraceEvent::Forwarded {
        service: cx.service,
        class: cx.class,
        home: cx.home,
    };
    shared.traces.start(id, shared.now(), trace_event);
    let permit = match headers::text(req.headers(), PERMIT) {
        Some(permit) => match shared.reservations.take(permit, cx.service) {
            Some(permit) => permit,
            None => {
                return Err(RequestError::new(
                    ErrorKind::NoCapacity,
                    "the reservation is over",
                ));
            }
        },
        None => admit(shared, &cx).await?,
    };
    let mut outbound = inbound::build_outbound(req, &format!("{FORWARD_PATH}{name}"), payload);
    headers::set(&mut outbound.headers, HOME_REGION, &home);
    let mut response = forward_to_endpoint(shared, &cx, outbound, permit).await?;
    if let Some(region) = remote_region(shared, req) {
        response.body = Box::pin(shape_to_link_rate(shared, region, response.body));
    }
    Ok(response)
}

/// Reserves a slot for an upload, before the ingress entry sends its body.
pub(crate) async fn reserve(shared: web::Data<Arc<ServerState>>, req: HttpRequest) -> HttpResponse {
    let id = request_context::request_id(&req);
    let reserved = async {
        let (mut cx, _, _) = parse_request(&shared, &id, &req, RESERVE_PATH)?;
        cx.class = RequestClass::Upload;
        let permit = admit(&shared, &cx).await?;
        Ok(shared.reservations.add(cx.service, permit))
    };
    match reserved.await {
        Ok(reservation) => {
            let (shared, key) = (Arc::clone(&shared), reservation.clone());
            actix_rt::spawn(async move {
                tokio::time::sleep(RESERVATION_TTL).await;
                shared.reservations.expire(&key);
            });
            HttpResponse::Ok()
                .insert_header((PERMIT, reservation))
                .finish()
        }
        Err(error) => problem(&error, &id),
    }
}

/// Responds to a check of the connection.
pub(crate) async fn ping() -> HttpResponse {
    HttpResponse::Ok().finish()
}

/// Reports whether this entry is draining and how many slots are free.
pub(crate) async fn probe(shared: web::Data<Arc<ServerState>>) -> HttpResponse {
    let draining = shared.drain.phase() != DrainPhase::Serving;
    let response = shared.with_routing(|state, now| ProbeResponse {
        draining,
        config_version: state.config.version,
        free_slots: (state.config.topology.services.iter().enumerate())
            .map(|(i, service)| {
                let service_id = mangospindle_model::ServiceId(i as u16);
                (
                    service.name.clone(),
                    state.admission.free_slots(now, service_id),
                )
            })
            .collect(),
    });
    match response {
        Ok(response) => HttpResponse::Ok().json(response),
        Err(error) => problem(&error, ""),
    }
}

/// Parses the path and headers of a request from another entry. Returns the request context, the
/// service name and the name of the home region.
fn parse_request(
    shared: &ServerState,
    id: &str,
    req: &HttpRequest,
    prefix: &str,
) -> Result<(RequestContext, String, String), RequestError> {
    if matches!(shared.drain.phase(), DrainPhase::Finishing { .. }) {
        return Err(ErrorKind::Draining.into());
    }
    let path = req.uri().path().strip_prefix(prefix).unwrap_or_default();
    let name = path.split('/').next().unwrap_or_default();
    let home = headers::text(req.headers(), HOME_REGION).unwrap_or_default();
    let found = shared.with_routing(|state, _| {
        let topology = &state.config.topology;
        let service_id = topology.service_by_name(name)?;
        Some((
            service_id,
            topology.services[service_id.index()].clone(),
            topology.region_by_name(home),
        ))
    })?;
    let (service_id, service, home_id) = match found {
        Some((service_id, service, Some(home))) => (service_id, service, home),
        Some((_, _, None)) => {
            return Err(RequestError::new(ErrorKind::BadRequest, "unknown region"));
        }
        None => return Err(ErrorKind::UnknownService.into()),
    };
    let cx = RequestContext {
        id: id.to_string(),
        service: service_id,
        class: request_context::request_class(req.method(), &service),
        home: home_id,
        deadline: request_context::request_deadline(req, &service, shared.now())?,
    };
    Ok((cx, name.to_string(), home.to_string()))
}

/// Returns the region of the entry that sent a request, if it differs from this entry's region.
fn remote_region(shared: &ServerState, req: &HttpRequest) -> Option<RegionId> {
    let name = headers::text(req.headers(), INGRESS_ENTRY)?;
    let region = shared.with_routing(|state, _| {
        let topology = &state.config.topology;
        let from = topology.entry_region(topology.entry_by_name(name)?);
        Some(from).filter(|r| *r != topology.entry_region(state.entry))
    });
    region.ok().flatten()
}

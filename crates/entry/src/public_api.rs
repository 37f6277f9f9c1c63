//! Handlers of the public API, which callers use.

use crate::actions;
use crate::drain_state::DrainPhase;
use crate::headers::{self, HOME_REGION, IDEMPOTENCY_KEY, REQUEST_ID};
use crate::in_progress_guard::InProgressGuard;
use crate::inbound;
use crate::ingress;
use crate::lookup::client_address;
use crate::outbound_request::OutboundBody;
use crate::problem::problem;
use crate::proxy_response::ProxyResponse;
use crate::request_context::{self, RequestContext};
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::respond::respond;
use crate::server_state::ServerState;
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_model::{ErrorKind, RequestClass};
use mangospindle_rpc::QueryResult;
use mangospindle_state::{ClaimKey, ClaimOutcome};
use mangospindle_telemetry::event;
use serde_json::json;
use std::sync::Arc;

/// Path prefix of requests to services.
pub(crate) const SERVICE_PATH: &str = "/s/";

/// Forwards a caller's request to an endpoint of the service and counts errors.
pub(crate) async fn handle_service_request(
    shared: web::Data<Arc<ServerState>>,
    req: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let id = request_context::request_id(&req);
    let count = InProgressGuard::new(&shared);
    let result = serve(&shared, &id, &count, &req, payload).await;
    if let Err(error) = &result {
        let name = error.kind.row().name;
        shared
            .metrics
            .requests_refused
            .with_label_values(&[name])
            .inc();
        event!(Debug, "request_refused", "request" => id, "kind" => name,
            "detail" => error.detail);
    }
    respond(&shared, &id, count, result)
}

async fn serve(
    shared: &Arc<ServerState>,
    id: &str,
    count: &InProgressGuard,
    req: &HttpRequest,
    payload: web::Payload,
) -> Result<ProxyResponse, RequestError> {
    inbound::check_header_size(req)?;
    let now = shared.now();
    let path = req
        .uri()
        .path()
        .strip_prefix(SERVICE_PATH)
        .unwrap_or_default();
    let name = path.split('/').next().unwrap_or_default();
    let client = client_address(req)?;
    let found = shared.with_routing(|state, _| {
        let service_id = state.config.topology.service_by_name(name)?;
        let service = state.config.topology.services[service_id.index()].clone();
        let home = state.client_table.lookup(client).region;
        let region = state.config.topology.regions.get(home.index())?;
        Some((service_id, service, home, region.name.clone()))
    })?;
    let Some((service_id, service, home, region)) = found else {
        return Err(ErrorKind::UnknownService.into());
    };
    let class = request_context::request_class(req.method(), &service);
    let trace_event = TraceEvent::Received {
        service: service_id,
        class,
        home,
    };
    shared.traces.start(id, now, trace_event);
    if matches!(shared.drain.phase(), DrainPhase::Finishing { .. }) {
        return Err(shared.with_retry_after(ErrorKind::Draining.into(), service_id));
    }
    let cx = RequestContext {
        id: id.to_string(),
        service: service_id,
        class,
        home,
        deadline: request_context::request_deadline(req, &service, now)?,
    };
    let mut outbound = inbound::build_outbound(req, &format!("{SERVICE_PATH}{name}"), payload);
    headers::set(&mut outbound.headers, HOME_REGION, &region);
    let mut response = match class {
        RequestClass::Read => ingress::send_read(shared, &cx, outbound).await?,
        RequestClass::Upload => ingress::send_upload(shared, &cx, outbound).await?,
        RequestClass::AtMostOnce => {
            let key = headers::text(req.headers(), IDEMPOTENCY_KEY);
            let key = actions::validate_key(key)?;
            let body = std::mem::replace(&mut outbound.body, OutboundBody::Consumed);
            let has_body = !matches!(body, OutboundBody::None);
            let time_left = cx.remaining(now)?;
            let buffered = inbound::buffer_body(body, actions::MAX_BODY_BYTES);
            let bytes = match tokio::time::timeout(time_left, buffered).await {
                Ok(bytes) => bytes?,
                Err(_) => return Err(ErrorKind::DeadlineBeforeDispatch.into()),
            };
            outbound.body = match has_body {
                true => OutboundBody::Bytes(bytes),
                false => OutboundBody::None,
            };
            actions::run_action(shared, &cx, outbound, key, count).await?
        }
    };
    let status = response.status.as_str();
    let labels = [name, class.as_str(), status];
    shared
        .metrics
        .requests_answered
        .with_label_values(&labels)
        .inc();
    headers::set(&mut response.headers, HOME_REGION, &region);
    headers::set(&mut response.headers, REQUEST_ID, id);
    Ok(response)
}

/// Returns the state of an at-most-once action.
pub(crate) async fn action_state(
    shared: web::Data<Arc<ServerState>>,
    req: &HttpRequest,
    service: &str,
    key: &str,
) -> HttpResponse {
    let id = request_context::request_id(req);
    match query_action(&shared, service, key).await {
        Ok(value) => HttpResponse::Ok()
            .insert_header((REQUEST_ID, id))
            .json(value),
        Err(error) => problem(&error, &id),
    }
}

async fn query_action(
    shared: &ServerState,
    service: &str,
    key: &str,
) -> Result<serde_json::Value, RequestError> {
    let key = actions::validate_key(Some(key))?;
    let Some(service) =
        shared.with_routing(|state, _| state.config.topology.service_by_name(service))?
    else {
        return Err(ErrorKind::UnknownService.into());
    };
    let claim = ClaimKey {
        service,
        key: key.to_string(),
    };
    let result = shared
        .control
        .query_claim(claim, actions::QUERY_TIMEOUT)
        .await;
    match result {
        QueryResult::Unconfirmed => Err(ErrorKind::NoQuorum.into()),
        QueryResult::Answer(ClaimOutcome::NotFound) => Ok(json!({ "state": "not_found" })),
        QueryResult::Answer(ClaimOutcome::Completed(recorded)) => Ok(json!({
            "state": "completed",
            "status": recorded.status,
            "content_type": recorded.content_type,
            "body_kept": recorded.body.is_some(),
        })),
        QueryResult::Answer(ClaimOutcome::InProgress | ClaimOutcome::Granted) => {
            Ok(json!({ "state": "in_progress" }))
        }
        QueryResult::Answer(ClaimOutcome::Unknown | ClaimOutcome::BodyMismatch) => {
            Ok(json!({ "state": "unknown" }))
        }
    }
}

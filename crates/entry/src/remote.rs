//! Sending requests to owners on other VMs.

use crate::client::{BodyError, Exchange, ExchangeError, Target};
use crate::connect::Freshness;
use crate::exchange_body::ExchangeBody;
use crate::headers::{
    self, ENTRY_ERROR, HOME_REGION, INGRESS_ENTRY, PERMIT, SERVED_BY, SERVED_REGION,
};
use crate::ingress::slow_after;
use crate::link_shaping::shape_to_link_rate;
use crate::outbound_request::{OutboundBody, OutboundRequest};
use crate::proxy_response::ProxyResponse;
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use crate::upstream_call::{CallOptions, UpstreamCall};
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use futures::StreamExt;
use mangospindle_model::{EntryId, ErrorKind, RegionId, Topology};
use mangospindle_quota::RequestResult;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path under which owners accept requests from other entries; the service's name follows.
pub(crate) const FORWARD_PATH: &str = "/internal/v1/forward/";
/// Path under which owners make reservations; the service's name follows.
pub(crate) const RESERVE_PATH: &str = "/internal/v1/reserve/";

/// Longest time by which an owner's error may follow the deadline.
const ERROR_GRACE: Duration = Duration::from_millis(50);

/// Most bytes of an owner's error answer that are read to keep the connection.
const MAX_ERROR_BYTES: usize = 16 * 1024;

/// Address of an entry, which the settings can override.
pub(crate) fn internal_address(
    shared: &ServerState,
    topology: &Topology,
    id: EntryId,
) -> SocketAddr {
    let entry = &topology.entries[id.index()];
    let overrides = &shared.settings.address_overrides;
    overrides
        .get(&entry.name)
        .copied()
        .unwrap_or(entry.internal_address)
}

/// Sends a request to an owner and waits for the start of its answer.
pub(crate) async fn forward(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    mut outbound: OutboundRequest,
    owner: EntryId,
    permit: Option<&str>,
    freshness: Freshness,
) -> Result<ProxyResponse, RequestError> {
    let route = Route::new(shared, cx, owner)?;
    outbound.path = format!("{FORWARD_PATH}{}{}", route.service, outbound.path);
    route.set_headers(shared, &mut outbound.headers);
    if let Some(permit) = permit {
        headers::set(&mut outbound.headers, PERMIT, permit);
    }
    if let Some(region) = route.other_region {
        let body = std::mem::replace(&mut outbound.body, OutboundBody::Consumed);
        outbound.body = match body {
            OutboundBody::Stream(framing, body) => OutboundBody::Stream(
                framing,
                shape_to_link_rate(shared, region, body).boxed_local(),
            ),
            other => other,
        };
    }
    let plan = route.plan(owner, freshness, cx.deadline);
    let mut call = match UpstreamCall::prepare(shared, cx, &mut outbound, &plan, None).await {
        Ok(call) => call,
        Err((refusal, _)) => return Err(refusal),
    };
    let left = cx.deadline.saturating_sub(shared.now());
    let head = match call.head(shared, left + ERROR_GRACE).await {
        Some(Ok(head)) => head,
        Some(Err(e)) => {
            let kind = match e {
                ExchangeError::Body(BodyError::LengthMismatch) => ErrorKind::BodyLengthMismatch,
                ExchangeError::Body(BodyError::Incomplete) => ErrorKind::BadRequest,
                _ if !call.has_started() => ErrorKind::NoEndpoint,
                _ => ErrorKind::UpstreamFailed,
            };
            return Err(RequestError::new(kind, format!("owner: {e}")));
        }
        None => return Err(ErrorKind::DeadlineExceeded.into()),
    };
    let (exchange, _) = call.into_parts();
    if let Some(name) = headers::text(&head.headers, ENTRY_ERROR) {
        let kind = ErrorKind::from_name(name).unwrap_or(ErrorKind::Internal);
        discard(exchange).await;
        return Err(shared.with_retry_after(kind.into(), cx.service));
    }
    let mut out = headers::end_to_end(&head.headers);
    for name in [SERVED_BY, SERVED_REGION] {
        if let Some(value) = headers::text(&head.headers, name) {
            headers::set(&mut out, name, value);
        }
    }
    let left = cx.deadline.saturating_sub(shared.now());
    let body = ExchangeBody::new(exchange, None, RequestResult::Cancelled, left + ERROR_GRACE);
    Ok(ProxyResponse {
        status: head.status,
        headers: out,
        framing: head.framing,
        declared: head.declared,
        body: Box::pin(body),
    })
}

/// Reserves a slot for an upload at an owner; returns the name of the reservation.
///
/// A reservation that is lost on the way expires by itself and the upload has not run, so that the
/// owner is asked again on a new connection if the first one is silent or closed.
pub(crate) async fn reserve(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    owner: EntryId,
) -> Result<String, RequestError> {
    let slow = slow_after(shared, cx);
    match ask_for_permit(shared, cx, owner, Freshness::Proved, slow).await {
        Permission::Granted(permit) => return Ok(permit),
        Permission::Refused(refusal) => return Err(refusal),
        Permission::NoAnswer => {}
    }
    match ask_for_permit(shared, cx, owner, Freshness::New, Duration::MAX).await {
        Permission::Granted(permit) => Ok(permit),
        Permission::Refused(refusal) => Err(refusal),
        Permission::NoAnswer => Err(RequestError::new(
            ErrorKind::NoEndpoint,
            "the owner is silent",
        )),
    }
}

/// Answer to a request for a reservation.
enum Permission {
    Granted(String),
    Refused(RequestError),
    NoAnswer,
}

async fn ask_for_permit(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    owner: EntryId,
    freshness: Freshness,
    patience: Duration,
) -> Permission {
    let route = match Route::new(shared, cx, owner) {
        Ok(route) => route,
        Err(refusal) => return Permission::Refused(refusal),
    };
    let mut outbound = OutboundRequest {
        method: Method::POST,
        path: format!("{RESERVE_PATH}{}", route.service),
        headers: HeaderMap::new(),
        body: OutboundBody::None,
    };
    route.set_headers(shared, &mut outbound.headers);
    let plan = route.plan(owner, freshness, cx.deadline);
    let mut call = match UpstreamCall::prepare(shared, cx, &mut outbound, &plan, None).await {
        Ok(call) => call,
        Err((refusal, _)) => return Permission::Refused(refusal),
    };
    let left = cx.deadline.saturating_sub(shared.now());
    let Some(Ok(head)) = call.head(shared, left.min(patience)).await else {
        return Permission::NoAnswer;
    };
    let (exchange, _) = call.into_parts();
    discard(exchange).await;
    let error = headers::text(&head.headers, ENTRY_ERROR);
    match (error, headers::text(&head.headers, PERMIT)) {
        (None, Some(permit)) => Permission::Granted(permit.to_string()),
        (Some(name), _) => {
            let kind = ErrorKind::from_name(name).unwrap_or(ErrorKind::NoEndpoint);
            Permission::Refused(shared.with_retry_after(kind.into(), cx.service))
        }
        (None, None) => {
            Permission::Refused(RequestError::new(ErrorKind::NoEndpoint, "owner: no permit"))
        }
    }
}

/// Names and addresses that a request to an owner needs.
struct Route {
    address: SocketAddr,
    service: String,
    home: String,
    /// The owner's region, if it is not this entry's.
    other_region: Option<RegionId>,
}

impl Route {
    fn new(
        shared: &ServerState,
        cx: &RequestContext,
        owner: EntryId,
    ) -> Result<Self, RequestError> {
        shared.with_routing(|d, _| {
            let topology = &d.config.topology;
            let region = topology.entry_region(owner);
            Route {
                address: internal_address(shared, topology, owner),
                service: topology.services[cx.service.index()].name.clone(),
                home: topology.regions[cx.home.index()].name.clone(),
                other_region: Some(region).filter(|r| *r != topology.entry_region(d.entry)),
            }
        })
    }

    fn set_headers(&self, shared: &ServerState, headers: &mut HeaderMap) {
        headers::set(headers, HOME_REGION, &self.home);
        headers::set(headers, INGRESS_ENTRY, &shared.settings.name);
    }

    fn plan(&self, owner: EntryId, freshness: Freshness, deadline: Duration) -> CallOptions {
        CallOptions {
            target: Target::Entry(owner),
            address: self.address,
            freshness,
            deadline,
        }
    }
}

/// Reads the rest of a short answer, so that its connection can be used again.
async fn discard(exchange: Option<Exchange>) {
    let Some(mut exchange) = exchange else {
        return;
    };
    let mut read = 0;
    while let Some(Ok(chunk)) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        read += chunk.len();
        if read > MAX_ERROR_BYTES {
            return;
        }
    }
}

//! Requests to owners on other VMs.

use crate::client::{BodyError, Exchange, ExchangeError, Target};
use crate::connect::Freshness;
use crate::exchange_body::ExchangeBody;
use crate::headers::{
    self, ENTRY_ERROR, HOME_REGION, INGRESS_ENTRY, PERMIT, SERVED_BY, SERVED_REGION,
};
use crate::ingress::slow_threshold;
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

/// Path prefix of requests that other entries forward to owners. The name of the service follows.
pub(crate) const FORWARD_PATH: &str = "/internal/v1/forward/";
/// Path prefix of slot reservations at owners. The name of the service follows.
pub(crate) const RESERVE_PATH: &str = "/internal/v1/reserve/";

/// Time after the deadline during which an owner's error is still awaited.
const ERROR_GRACE: Duration = Duration::from_millis(50);

/// Maximum number of bytes that are read of a discarded response to keep its connection open.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;

/// Returns the internal address of an entry. The settings can override it.
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

/// Sends a request to an owner and waits for the start of the response.
pub(crate) async fn forward(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    mut outbound: OutboundRequest,
    owner: EntryId,
    permit: Option<&str>,
    freshness: Freshness,
) -> Result<ProxyResponse, RequestError> {
    let route = OwnerRoute::new(shared, cx, owner)?;
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
    let options = route.options(owner, freshness, cx.deadline);
    let mut call = match UpstreamCall::prepare(shared, cx, &mut outbound, &options, None).await {
        Ok(call) => call,
        Err((error, _)) => return Err(error),
    };
    let remaining = cx.deadline.saturating_sub(shared.now());
    let head = match call.response_head(shared, remaining + ERROR_GRACE).await {
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
        discard_body(exchange).await;
        return Err(shared.with_retry_after(kind.into(), cx.service));
    }
    let mut forwarded_headers = headers::end_to_end(&head.headers);
    for name in [SERVED_BY, SERVED_REGION] {
        if let Some(value) = headers::text(&head.headers, name) {
            headers::set(&mut forwarded_headers, name, value);
        }
    }
    let remaining = cx.deadline.saturating_sub(shared.now());
    let body = ExchangeBody::new(
        exchange,
        None,
        RequestResult::Cancelled,
        remaining + ERROR_GRACE,
    );
    Ok(ProxyResponse {
        status: head.status,
        headers: forwarded_headers,
        framing: head.framing,
        declared_length: head.content_length,
        body: Box::pin(body),
    })
}

/// Reserves a slot for an upload at an owner and returns the identifier of the reservation.
///
/// A second attempt is made on a new connection if the first one is unresponsive or closed. This is
/// safe because the upload has not run and a lost reservation expires by itself.
pub(crate) async fn reserve(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    owner: EntryId,
) -> Result<String, RequestError> {
    let threshold = slow_threshold(shared, cx);
    match request_reservation(shared, cx, owner, Freshness::Validated, threshold).await {
        ReservationResult::Granted(permit) => return Ok(permit),
        ReservationResult::Rejected(error) => return Err(error),
        ReservationResult::NoResponse => {}
    }
    match request_reservation(shared, cx, owner, Freshness::New, Duration::MAX).await {
        ReservationResult::Granted(permit) => Ok(permit),
        ReservationResult::Rejected(error) => Err(error),
        ReservationResult::NoResponse => Err(RequestError::new(
            ErrorKind::NoEndpoint,
            "the owner is silent",
        )),
    }
}

/// Result of a request for a reservation.
enum ReservationResult {
    Granted(String),
    Rejected(RequestError),
    NoResponse,
}

async fn request_reservation(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    owner: EntryId,
    freshness: Freshness,
    timeout: Duration,
) -> ReservationResult {
    let route = match OwnerRoute::new(shared, cx, owner) {
        Ok(route) => route,
        Err(error) => return ReservationResult::Rejected(error),
    };
    let mut outbound = OutboundRequest {
        method: Method::POST,
        path: format!("{RESERVE_PATH}{}", route.service),
        headers: HeaderMap::new(),
        body: OutboundBody::None,
    };
    route.set_headers(shared, &mut outbound.headers);
    let options = route.options(owner, freshness, cx.deadline);
    let mut call = match UpstreamCall::prepare(shared, cx, &mut outbound, &options, None).await {
        Ok(call) => call,
        Err((error, _)) => return ReservationResult::Rejected(error),
    };
    let remaining = cx.deadline.saturating_sub(shared.now());
    let Some(Ok(head)) = call.response_head(shared, remaining.min(timeout)).await else {
        return ReservationResult::NoResponse;
    };
    let (exchange, _) = call.into_parts();
    discard_body(exchange).await;
    let error_name = headers::text(&head.headers, ENTRY_ERROR);
    match (error_name, headers::text(&head.headers, PERMIT)) {
        (None, Some(permit)) => ReservationResult::Granted(permit.to_string()),
        (Some(name), _) => {
            let kind = ErrorKind::from_name(name).unwrap_or(ErrorKind::NoEndpoint);
            ReservationResult::Rejected(shared.with_retry_after(kind.into(), cx.service))
        }
        (None, None) => ReservationResult::Rejected(RequestError::new(
            ErrorKind::NoEndpoint,
            "owner: no permit",
        )),
    }
}

/// Address, names and region for requests to an owner.
struct OwnerRoute {
    address: SocketAddr,
    service: String,
    home: String,
    /// The owner's region, if it differs from this entry's.
    other_region: Option<RegionId>,
}

impl OwnerRoute {
    fn new(
        shared: &ServerState,
        cx: &RequestContext,
        owner: EntryId,
    ) -> Result<Self, RequestError> {
        shared.with_routing(|state, _| {
            let topology = &state.config.topology;
            let region = topology.entry_region(owner);
            OwnerRoute {
                address: internal_address(shared, topology, owner),
                service: topology.services[cx.service.index()].name.clone(),
                home: topology.regions[cx.home.index()].name.clone(),
                other_region: Some(region).filter(|r| *r != topology.entry_region(state.entry)),
            }
        })
    }

    fn set_headers(&self, shared: &ServerState, headers: &mut HeaderMap) {
        headers::set(headers, HOME_REGION, &self.home);
        headers::set(headers, INGRESS_ENTRY, &shared.settings.name);
    }

    fn options(&self, owner: EntryId, freshness: Freshness, deadline: Duration) -> CallOptions {
        CallOptions {
            target: Target::Entry(owner),
            address: self.address,
            freshness,
            deadline,
        }
    }
}

/// Reads the rest of a short response, so that its connection can be reused.
async fn discard_body(exchange: Option<Exchange>) {
    let Some(mut exchange) = exchange else {
        return;
    };
    let mut bytes_read = 0;
    while let Some(Ok(chunk)) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        bytes_read += chunk.len();
        if bytes_read > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

//! Serving requests with the endpoints that this entry owns.

use crate::admit::{admit, is_repeatable};
use crate::client::{BodyError, ExchangeError, ResponseHead, Target};
use crate::connect::Freshness;
use crate::exchange_body::ExchangeBody;
use crate::headers::{self, REQUEST_ID, REQUEST_RUN, SERVED_BY, SERVED_REGION};
use crate::outbound_request::OutboundRequest;
use crate::permit_guard::PermitGuard;
use crate::proxy_response::ProxyResponse;
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::server_state::ServerState;
use crate::upstream_call::{CallOptions, UpstreamCall};
use futures::FutureExt;
use futures::future::{Either, select};
use mangospindle_model::{CanHaveRun, ErrorKind};
use mangospindle_quota::RequestResult;
use std::cell::Cell;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Shortest wait for the first byte on a reused connection before a read is sent on a new one.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Wait for the first byte, as a multiple of the usual time.
const ATTEMPT_FACTOR: u32 = 4;

/// What follows an attempt at an endpoint.
enum Next {
    Response(Box<ProxyResponse>),
    /// The endpoint has closed the connection without an answer; the slot is free to be used again.
    SameSlot(PermitGuard),
    Refuse(RequestError),
}

/// Sends a request to the permit's endpoint and waits for the start of its answer.
///
/// A read whose reused connection turns out to be closed moves to a new connection. A read whose
/// reused connection may be silent is sent on a new connection as well, in another slot; the first
/// answer counts.
pub(crate) async fn forward_to_endpoint(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    permit: PermitGuard,
) -> Result<ProxyResponse, RequestError> {
    let copy = outbound.try_clone().filter(|_| is_repeatable(cx.class));
    let reused = Cell::new(false);
    let freshness = Freshness::of(cx.class);
    let Some(copy) = copy else {
        let next = attempt(shared, cx, outbound, permit, freshness, &reused).await;
        return finish(shared, cx, next, None).await;
    };
    let spare = outbound.try_clone();
    let mut first = pin!(attempt(shared, cx, outbound, permit, freshness, &reused));
    let timeout = attempt_timeout(shared, cx);
    if let Ok(next) = tokio::time::timeout(timeout, &mut first).await {
        return finish(shared, cx, next, spare.filter(|_| reused.get())).await;
    }
    let second_permit = match reused.get() && take_move(shared, cx) {
        true => admit(shared, cx).now_or_never().and_then(Result::ok),
        false => None,
    };
    let Some(permit) = second_permit else {
        return finish(shared, cx, first.await, None).await;
    };
    shared.metrics.moved.inc();
    let not_reused = Cell::new(false);
    let second = pin!(attempt(
        shared,
        cx,
        copy,
        permit,
        Freshness::New,
        &not_reused
    ));
    match select(first, second).await {
        Either::Left((Next::Response(answer), _)) | Either::Right((Next::Response(answer), _)) => {
            Ok(*answer)
        }
        Either::Left((_, second)) => finish(shared, cx, second.await, None).await,
        Either::Right((_, first)) => finish(shared, cx, first.await, None).await,
    }
}

/// Turns what follows an attempt into a result, after one more attempt if `copy` is given and the
/// endpoint has closed the connection.
async fn finish(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    next: Next,
    copy: Option<OutboundRequest>,
) -> Result<ProxyResponse, RequestError> {
    let next = match (next, copy) {
        (Next::SameSlot(permit), Some(copy)) => {
            shared.metrics.moved.inc();
            attempt(shared, cx, copy, permit, Freshness::New, &Cell::new(false)).await
        }
        (next, _) => next,
    };
    match next {
        Next::Response(answer) => Ok(*answer),
        Next::Refuse(refusal) => Err(shared.with_retry_after(refusal, cx.service)),
        Next::SameSlot(mut permit) => {
            permit.set_result(RequestResult::Failed);
            Err(RequestError::new(
                ErrorKind::UpstreamFailed,
                ExchangeError::Closed.as_str(),
            ))
        }
    }
}

async fn attempt(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    mut outbound: OutboundRequest,
    permit: PermitGuard,
    freshness: Freshness,
    reused: &Cell<bool>,
) -> Next {
    let endpoint = permit.endpoint();
    let deadline = permit.deadline();
    let address = shared.with_routing(|d, _| {
        let endpoint = d.config.topology.endpoints.get(endpoint.index());
        endpoint.map(|e| e.address)
    });
    let Ok(Some(address)) = address else {
        return Next::Refuse(ErrorKind::NoEndpoint.into());
    };
    let step = TraceEvent::Dispatched(endpoint);
    shared.traces.record(&cx.id, shared.now(), step);
    let plan = CallOptions {
        target: Target::Endpoint(endpoint),
        address,
        freshness,
        deadline,
    };
    let prepared = UpstreamCall::prepare(shared, cx, &mut outbound, &plan, Some(permit)).await;
    let mut call = match prepared {
        Ok(call) => call,
        Err((refusal, permit)) => {
            if let (Some(mut permit), ErrorKind::NoEndpoint) = (permit, refusal.kind) {
                permit.set_result(RequestResult::Failed);
            }
            return Next::Refuse(refusal);
        }
    };
    reused.set(call.reused);
    let left = deadline.saturating_sub(shared.now());
    match call.head(shared, left).await {
        Some(Ok(head)) => answered(shared, cx, head, call),
        Some(Err(e)) => failed(e, call),
        None => {
            if let Some(permit) = call.permit() {
                permit.set_result(RequestResult::TimedOut);
            }
            // Dropping the call keeps the slot until the endpoint lets go of the request.
            Next::Refuse(ErrorKind::DeadlineExceeded.into())
        }
    }
}

fn answered(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    head: ResponseHead,
    call: UpstreamCall,
) -> Next {
    let first_byte = shared.now().saturating_sub(call.sent_at);
    let (exchange, mut permit) = call.into_parts();
    let refused = headers::text(&head.headers, REQUEST_RUN) == Some(CanHaveRun::No.as_str());
    if head.status.is_server_error() && refused {
        // The endpoint says that it did not run the request.
        if let Some(permit) = &mut permit {
            permit.set_result(RequestResult::Shed);
        }
        return Next::Refuse(RequestError::new(
            ErrorKind::Shed,
            "refused by the endpoint",
        ));
    }
    let result = match head.status.is_server_error() {
        true => RequestResult::Failed,
        false => RequestResult::Answered { first_byte },
    };
    let served = shared.with_routing(|d, _| {
        d.record_first_byte(cx.service, first_byte);
        let topology = &d.config.topology;
        let endpoint = permit.as_ref().map(PermitGuard::endpoint);
        endpoint.map(|id| {
            let region = &topology.regions[topology.endpoint_region(id).index()];
            (
                topology.endpoints[id.index()].name.clone(),
                region.name.clone(),
            )
        })
    });
    let mut out = headers::end_to_end(&head.headers);
    headers::set(&mut out, REQUEST_ID, &cx.id);
    if let Ok(Some((endpoint, region))) = served {
        headers::set(&mut out, SERVED_BY, &endpoint);
        headers::set(&mut out, SERVED_REGION, &region);
    }
    let left = (permit.as_ref()).map_or(Duration::ZERO, PermitGuard::time_left);
    let body = ExchangeBody::new(exchange, permit, result, left);
    Next::Response(Box::new(ProxyResponse {
        status: head.status,
        headers: out,
        framing: head.framing,
        declared: head.declared,
        body: Box::pin(body),
    }))
}

/// Judges an attempt without an answer.
fn failed(e: ExchangeError, mut call: UpstreamCall) -> Next {
    let kind = match e {
        ExchangeError::Body(BodyError::LengthMismatch) => ErrorKind::BodyLengthMismatch,
        ExchangeError::Body(BodyError::Incomplete) => ErrorKind::BadRequest,
        _ if !call.has_started() => ErrorKind::NoEndpoint,
        _ => ErrorKind::UpstreamFailed,
    };
    match (e, call.take_permit()) {
        (ExchangeError::Closed, Some(permit)) if call.reused && call.has_started() => {
            Next::SameSlot(permit)
        }
        (ExchangeError::Body(_), _) => Next::Refuse(kind.into()),
        (_, permit) => {
            if let Some(mut permit) = permit {
                permit.set_result(RequestResult::Failed);
            }
            Next::Refuse(RequestError::new(kind, e.to_string()))
        }
    }
}

/// How long to wait for the first byte on a reused connection.
fn attempt_timeout(shared: &ServerState, cx: &RequestContext) -> Duration {
    let usual = shared.with_routing(|d, _| d.average_first_byte(cx.service));
    match usual {
        Ok(Some(usual)) => (usual * ATTEMPT_FACTOR).max(MIN_ATTEMPT_TIMEOUT),
        Ok(None) | Err(_) => MIN_ATTEMPT_TIMEOUT,
    }
}

/// Takes one move from the service's budget.
fn take_move(shared: &ServerState, cx: &RequestContext) -> bool {
    let taken = shared.with_routing(|d, now| {
        !d.is_overloaded(now, cx.service)
            && d.reconnect_budgets
                .entry(cx.service)
                .or_default()
                .withdraw()
    });
    taken.unwrap_or(false)
}

//! Requests to the endpoints that this entry owns.

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

/// Minimum wait for the first byte on a reused connection before a read is also sent on a new one.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Wait for the first byte, as a multiple of the average time to the first byte.
const ATTEMPT_TIMEOUT_MULTIPLE: u32 = 4;

/// Outcome of an attempt at an endpoint.
enum AttemptOutcome {
    Response(Box<ProxyResponse>),
    /// The endpoint closed the reused connection without a response. The slot can be used again.
    ConnectionClosed(PermitGuard),
    Error(RequestError),
}

/// Sends a request to the permit's endpoint and waits for the start of the response.
///
/// A read whose reused connection turns out to be closed is sent again on a new connection. If a
/// read has no response in time on a reused connection, the connection may be broken. The read is
/// then also sent on a new connection in another slot, and the first response wins.
pub(crate) async fn forward_to_endpoint(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
    permit: PermitGuard,
) -> Result<ProxyResponse, RequestError> {
    let request_copy = outbound.try_clone().filter(|_| is_repeatable(cx.class));
    let reused = Cell::new(false);
    let freshness = Freshness::for_class(cx.class);
    let Some(request_copy) = request_copy else {
        let outcome = attempt_at_endpoint(shared, cx, outbound, permit, freshness, &reused).await;
        return finish_attempt(shared, cx, outcome, None).await;
    };
    let retry_request = outbound.try_clone();
    let mut first = pin!(attempt_at_endpoint(
        shared, cx, outbound, permit, freshness, &reused
    ));
    let timeout = attempt_timeout(shared, cx);
    if let Ok(outcome) = tokio::time::timeout(timeout, &mut first).await {
        return finish_attempt(shared, cx, outcome, retry_request.filter(|_| reused.get())).await;
    }
    let second_permit = match reused.get() && withdraw_reconnect(shared, cx) {
        true => admit(shared, cx).now_or_never().and_then(Result::ok),
        false => None,
    };
    let Some(permit) = second_permit else {
        return finish_attempt(shared, cx, first.await, None).await;
    };
    shared.metrics.reads_moved.inc();
    let not_reused = Cell::new(false);
    let second = pin!(attempt_at_endpoint(
        shared,
        cx,
        request_copy,
        permit,
        Freshness::New,
        &not_reused
    ));
    match select(first, second).await {
        Either::Left((AttemptOutcome::Response(response), _))
        | Either::Right((AttemptOutcome::Response(response), _)) => Ok(*response),
        Either::Left((_, second)) => finish_attempt(shared, cx, second.await, None).await,
        Either::Right((_, first)) => finish_attempt(shared, cx, first.await, None).await,
    }
}

/// Converts the outcome of an attempt into a result. If the endpoint has closed the connection and
/// `request_copy` is given, sends the request once more first.
async fn finish_attempt(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outcome: AttemptOutcome,
    request_copy: Option<OutboundRequest>,
) -> Result<ProxyResponse, RequestError> {
    let outcome = match (outcome, request_copy) {
        (AttemptOutcome::ConnectionClosed(permit), Some(request_copy)) => {
            shared.metrics.reads_moved.inc();
            attempt_at_endpoint(
                shared,
                cx,
                request_copy,
                permit,
                Freshness::New,
                &Cell::new(false),
            )
            .await
        }
        (outcome, _) => outcome,
    };
    match outcome {
        AttemptOutcome::Response(response) => Ok(*response),
        AttemptOutcome::Error(error) => Err(shared.with_retry_after(error, cx.service)),
        AttemptOutcome::ConnectionClosed(mut permit) => {
            permit.set_result(RequestResult::Failed);
            Err(RequestError::new(
                ErrorKind::UpstreamFailed,
                ExchangeError::Closed.as_str(),
            ))
        }
    }
}

async fn attempt_at_endpoint(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    mut outbound: OutboundRequest,
    permit: PermitGuard,
    freshness: Freshness,
    reused: &Cell<bool>,
) -> AttemptOutcome {
    let endpoint = permit.endpoint();
    let deadline = permit.deadline();
    let address = shared.with_routing(|state, _| {
        let endpoint = state.config.topology.endpoints.get(endpoint.index());
        endpoint.map(|e| e.address)
    });
    let Ok(Some(address)) = address else {
        return AttemptOutcome::Error(ErrorKind::NoEndpoint.into());
    };
    let event = TraceEvent::Dispatched(endpoint);
    shared.traces.record(&cx.id, shared.now(), event);
    let options = CallOptions {
        target: Target::Endpoint(endpoint),
        address,
        freshness,
        deadline,
    };
    let prepared = UpstreamCall::prepare(shared, cx, &mut outbound, &options, Some(permit)).await;
    let mut call = match prepared {
        Ok(call) => call,
        Err((error, permit)) => {
            if let (Some(mut permit), ErrorKind::NoEndpoint) = (permit, error.kind) {
                permit.set_result(RequestResult::Failed);
            }
            return AttemptOutcome::Error(error);
        }
    };
    reused.set(call.reused);
    let remaining = deadline.saturating_sub(shared.now());
    match call.response_head(shared, remaining).await {
        Some(Ok(head)) => handle_response(shared, cx, head, call),
        Some(Err(e)) => handle_failure(e, call),
        None => {
            if let Some(permit) = call.permit() {
                permit.set_result(RequestResult::TimedOut);
            }
            // Dropping the call holds the slot until the endpoint has stopped working on it.
            AttemptOutcome::Error(ErrorKind::DeadlineExceeded.into())
        }
    }
}

fn handle_response(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    head: ResponseHead,
    call: UpstreamCall,
) -> AttemptOutcome {
    let first_byte = shared.now().saturating_sub(call.sent_at);
    let (exchange, mut permit) = call.into_parts();
    let did_not_run = headers::text(&head.headers, REQUEST_RUN) == Some(CanHaveRun::No.as_str());
    if head.status.is_server_error() && did_not_run {
        // The endpoint reports that it did not run the request.
        if let Some(permit) = &mut permit {
            permit.set_result(RequestResult::Shed);
        }
        return AttemptOutcome::Error(RequestError::new(
            ErrorKind::Shed,
            "refused by the endpoint",
        ));
    }
    let result = match head.status.is_server_error() {
        true => RequestResult::Failed,
        false => RequestResult::Answered { first_byte },
    };
    let endpoint_and_region = shared.with_routing(|state, _| {
        state.record_first_byte(cx.service, first_byte);
        let topology = &state.config.topology;
        let endpoint = permit.as_ref().map(PermitGuard::endpoint);
        endpoint.map(|id| {
            let region = &topology.regions[topology.endpoint_region(id).index()];
            (
                topology.endpoints[id.index()].name.clone(),
                region.name.clone(),
            )
        })
    });
    let mut forwarded_headers = headers::end_to_end(&head.headers);
    headers::set(&mut forwarded_headers, REQUEST_ID, &cx.id);
    if let Ok(Some((endpoint, region))) = endpoint_and_region {
        headers::set(&mut forwarded_headers, SERVED_BY, &endpoint);
        headers::set(&mut forwarded_headers, SERVED_REGION, &region);
    }
    let remaining = (permit.as_ref()).map_or(Duration::ZERO, PermitGuard::time_left);
    let body = ExchangeBody::new(exchange, permit, result, remaining);
    AttemptOutcome::Response(Box::new(ProxyResponse {
        status: head.status,
        headers: forwarded_headers,
        framing: head.framing,
        declared_length: head.content_length,
        body: Box::pin(body),
    }))
}

/// Returns the outcome of an attempt that failed without a response.
fn handle_failure(e: ExchangeError, mut call: UpstreamCall) -> AttemptOutcome {
    let kind = match e {
        ExchangeError::Body(BodyError::LengthMismatch) => ErrorKind::BodyLengthMismatch,
        ExchangeError::Body(BodyError::Incomplete) => ErrorKind::BadRequest,
        _ if !call.has_started() => ErrorKind::NoEndpoint,
        _ => ErrorKind::UpstreamFailed,
    };
    match (e, call.take_permit()) {
        (ExchangeError::Closed, Some(permit)) if call.reused && call.has_started() => {
            AttemptOutcome::ConnectionClosed(permit)
        }
        (ExchangeError::Body(_), _) => AttemptOutcome::Error(kind.into()),
        (_, permit) => {
            if let Some(mut permit) = permit {
                permit.set_result(RequestResult::Failed);
            }
            AttemptOutcome::Error(RequestError::new(kind, e.to_string()))
        }
    }
}

/// Returns how long to wait for the first byte on a reused connection.
fn attempt_timeout(shared: &ServerState, cx: &RequestContext) -> Duration {
    let average = shared.with_routing(|state, _| state.average_first_byte(cx.service));
    match average {
        Ok(Some(average)) => (average * ATTEMPT_TIMEOUT_MULTIPLE).max(MIN_ATTEMPT_TIMEOUT),
        Ok(None) | Err(_) => MIN_ATTEMPT_TIMEOUT,
    }
}

/// Withdraws one attempt on a new connection from the service's budget. Returns false if the budget
/// is spent or the service is overloaded.
fn withdraw_reconnect(shared: &ServerState, cx: &RequestContext) -> bool {
    let withdrawn = shared.with_routing(|state, now| {
        !state.is_overloaded(now, cx.service)
            && state
                .reconnect_budgets
                .entry(cx.service)
                .or_default()
                .withdraw()
    });
    withdrawn.unwrap_or(false)
}

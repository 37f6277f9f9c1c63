//! Requests of callers: selection of owners, retries, hedging and reservations.

use crate::admit::admit;
use crate::attempt_guard::AttemptGuard;
use crate::connect::Freshness;
use crate::outbound_request::OutboundRequest;
use crate::owner::forward_to_endpoint;
use crate::proxy_response::ProxyResponse;
use crate::remote;
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::server_state::ServerState;
use crate::tracked_body::TrackedBody;
use futures::future::{Either, select};
use mangospindle_model::{EntryId, ErrorKind};
use mangospindle_routing::{Attempts, RetryDecision};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Minimum time to the start of a response that counts as slow. Longer than the owner's timeout for
/// a reused connection, so that the owner can first send the read on a new connection.
const MIN_SLOW_THRESHOLD: Duration = Duration::from_millis(400);

/// A response counts as slow if it takes this multiple of the average time to the first byte.
const SLOW_LATENCY_MULTIPLE: u32 = 8;

/// Sends a read to an owner, with retries and hedging as the profile allows.
pub(crate) async fn send_read(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
) -> Result<ProxyResponse, RequestError> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    shared.with_routing(|state, _| {
        let fraction = (state.config.profile_of(cx.service)).map_or(0.0, |p| p.retry_budget);
        state
            .reconnect_budgets
            .entry(cx.service)
            .or_default()
            .deposit(fraction);
    })?;
    let mut next_request = Some(outbound);
    let mut freshness = Freshness::for_class(cx.class);
    let mut last_error = None;
    loop {
        let owner = select_owner(shared, cx, &mut attempts, last_error.take())?;
        let Some(current) = next_request.take() else {
            return Err(ErrorKind::Internal.into());
        };
        next_request = current.try_clone();
        let request_copy = current.try_clone();
        let first = attempt_at_owner(shared, cx, owner, current, freshness);
        let (error, response) =
            match attempt_with_hedge(shared, cx, &mut attempts, first, request_copy).await {
                Ok(response) if response.status.is_server_error() => (
                    RequestError::from(ErrorKind::UpstreamFailed),
                    Some(response),
                ),
                Ok(response) => return Ok(response),
                Err(error) => (error, None),
            };
        // A rejection without running the request shows that the connections to owners work.
        if !error.did_not_run() {
            freshness = Freshness::New;
        }
        // A read whose body cannot be sent again is not retried.
        match next_request.is_some() && wait_for_retry(shared, &mut attempts, &error).await {
            true => last_error = Some(error),
            // The endpoint's own error response says more than a generic error.
            false => return response.ok_or(error),
        }
    }
}

/// Reserves a slot for an upload and streams the body to its owner. Another owner is tried only
/// while no byte of the body has been sent.
pub(crate) async fn send_upload(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
) -> Result<ProxyResponse, RequestError> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    let mut last_error = None;
    loop {
        let owner = select_owner(shared, cx, &mut attempts, last_error.take())?;
        let guard = AttemptGuard::new(shared, owner, cx.service, slow_threshold(shared, cx));
        let error = if shared.entry_id() == Some(owner) {
            match admit(shared, cx).await {
                Ok(permit) => {
                    let result = forward_to_endpoint(shared, cx, outbound, permit).await;
                    return finish_attempt(shared, cx, owner, guard, result);
                }
                Err(error) => error,
            }
        } else {
            match remote::reserve(shared, cx, owner).await {
                Ok(permit) => {
                    let permit = Some(permit.as_str());
                    let freshness = Freshness::for_class(cx.class);
                    let result =
                        remote::forward(shared, cx, outbound, owner, permit, freshness).await;
                    return finish_attempt(shared, cx, owner, guard, result);
                }
                Err(error) => error,
            }
        };
        let error = match finish_attempt(shared, cx, owner, guard, Err(error)) {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        match wait_for_retry(shared, &mut attempts, &error).await {
            true => last_error = Some(error),
            false => return Err(error),
        }
    }
}

/// Sends a claimed at-most-once action. Another owner is tried only after an error that proves that
/// the action did not run.
pub(crate) async fn send_action(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: &OutboundRequest,
) -> Result<ProxyResponse, RequestError> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    let mut last_error = None;
    loop {
        let owner = select_owner(shared, cx, &mut attempts, last_error.take())?;
        let Some(request_copy) = outbound.try_clone() else {
            return Err(ErrorKind::Internal.into());
        };
        let error = match attempt_at_owner(
            shared,
            cx,
            owner,
            request_copy,
            Freshness::for_class(cx.class),
        )
        .await
        {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let retry = error.did_not_run() && wait_for_retry(shared, &mut attempts, &error).await;
        match retry {
            true => last_error = Some(error),
            false => return Err(error),
        }
    }
}

/// Makes one attempt at an owner, which is this entry or another one.
async fn attempt_at_owner(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    owner: EntryId,
    outbound: OutboundRequest,
    freshness: Freshness,
) -> Result<ProxyResponse, RequestError> {
    let guard = AttemptGuard::new(shared, owner, cx.service, slow_threshold(shared, cx));
    let result = match shared.entry_id() == Some(owner) {
        true => match admit(shared, cx).await {
            Ok(permit) => forward_to_endpoint(shared, cx, outbound, permit).await,
            Err(error) => Err(error),
        },
        false => remote::forward(shared, cx, outbound, owner, None, freshness).await,
    };
    finish_attempt(shared, cx, owner, guard, result)
}

/// Runs an attempt and, if its response is slow and the profile allows it, a second one. The first
/// attempt continues, since it may be slow for a valid reason. The first response wins, and the
/// other attempt is cancelled.
async fn attempt_with_hedge<F>(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    attempts: &mut Attempts,
    first: F,
    request_copy: Option<OutboundRequest>,
) -> Result<ProxyResponse, RequestError>
where
    F: Future<Output = Result<ProxyResponse, RequestError>>,
{
    let mut first = pin!(first);
    let Some(request_copy) = request_copy else {
        return first.await;
    };
    let hedge_delay = shared.with_routing(|state, _| state.router.hedge_delay(attempts))?;
    let threshold = slow_threshold(shared, cx);
    let mut owner = None;
    if let Some(delay) = hedge_delay {
        if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
            return result;
        }
        owner = shared.with_routing(|state, now| match state.is_overloaded(now, cx.service) {
            true => None,
            false => state.router.hedge(now, attempts),
        })?;
        if let Some(owner) = owner {
            shared.metrics.requests_hedged.inc();
            shared
                .traces
                .record(&cx.id, shared.now(), TraceEvent::Hedged(owner));
        }
    }
    let owner = match owner {
        Some(owner) => owner,
        None => {
            let remaining_wait = threshold.saturating_sub(hedge_delay.unwrap_or_default());
            if let Ok(result) = tokio::time::timeout(remaining_wait, &mut first).await {
                return result;
            }
            // Under overload, a slow attempt most likely waits in its owner's queue.
            let overloaded =
                shared.with_routing(|state, now| state.is_overloaded(now, cx.service))?;
            let timed_out = RequestError::from(ErrorKind::DeadlineExceeded);
            if overloaded || !wait_for_retry(shared, attempts, &timed_out).await {
                return first.await;
            }
            match select_owner(shared, cx, attempts, None) {
                Ok(owner) => owner,
                Err(_) => return first.await,
            }
        }
    };
    // Uses a new connection, because the one of the first attempt may be broken.
    let second = pin!(attempt_at_owner(
        shared,
        cx,
        owner,
        request_copy,
        Freshness::New
    ));
    match select(first, second).await {
        Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

/// How long an attempt may take to start its response before it counts as slow.
pub(crate) fn slow_threshold(shared: &ServerState, cx: &RequestContext) -> Duration {
    let times = shared.with_routing(|state, _| {
        let profile = state.config.profile_of(cx.service);
        let queue = profile.map_or(Duration::ZERO, |p| p.queue_timeout);
        (queue, state.average_first_byte(cx.service))
    });
    // The time in the owner's queue does not count as slow.
    match times {
        Ok((queue, Some(average))) => {
            queue + (average * SLOW_LATENCY_MULTIPLE).max(MIN_SLOW_THRESHOLD)
        }
        Ok((queue, None)) => queue + MIN_SLOW_THRESHOLD,
        Err(_) => MIN_SLOW_THRESHOLD,
    }
}

/// Asks the router for an owner. If there is none left, the last error is returned in preference to
/// the router's, since it says more.
fn select_owner(
    shared: &ServerState,
    cx: &RequestContext,
    attempts: &mut Attempts,
    last_error: Option<RequestError>,
) -> Result<EntryId, RequestError> {
    cx.remaining(shared.now())
        .map_err(|e| last_error.clone().unwrap_or(e))?;
    let chosen: Result<EntryId, ErrorKind> = shared.with_routing(|state, now| {
        let owner = state.router.choose_owner(now, attempts)?;
        let name = &state.config.topology.entries[owner.index()].name;
        shared.metrics.owner_chosen.with_label_values(&[name]).inc();
        Ok(owner)
    })?;
    match chosen {
        Ok(owner) => {
            shared
                .traces
                .record(&cx.id, shared.now(), TraceEvent::OwnerChosen(owner));
            Ok(owner)
        }
        Err(kind) => {
            let error = last_error.unwrap_or_else(|| RequestError::from(kind));
            Err(shared.with_retry_after(error, cx.service))
        }
    }
}

/// Reports the result of an attempt. [`TrackedBody`] reports the end of the body.
fn finish_attempt(
    shared: &ServerState,
    cx: &RequestContext,
    owner: EntryId,
    mut guard: AttemptGuard,
    result: Result<ProxyResponse, RequestError>,
) -> Result<ProxyResponse, RequestError> {
    match result {
        Ok(response) if response.status.is_server_error() => {
            guard.on_server_error();
            Ok(response)
        }
        Ok(mut response) => {
            let first_byte = guard.on_response_started();
            if shared.entry_id() != Some(owner) {
                // For endpoints of this entry, `owner` has recorded the time.
                shared.with_routing(|state, _| state.record_first_byte(cx.service, first_byte))?;
            }
            response.body = Box::pin(TrackedBody::new(response.body, guard));
            Ok(response)
        }
        Err(error) => {
            shared.with_routing(|state, now| state.record_error(now, cx.service, error.kind))?;
            let event = TraceEvent::AttemptFailed(owner, error.kind);
            shared.traces.record(&cx.id, shared.now(), event);
            guard.on_error(&error);
            Err(error)
        }
    }
}

/// Asks the router whether to retry, and waits for the backoff. Returns false if it gives up.
async fn wait_for_retry(
    shared: &ServerState,
    attempts: &mut Attempts,
    error: &RequestError,
) -> bool {
    let decision =
        shared.with_routing(|state, now| state.router.after_failure(now, attempts, error.kind));
    match decision {
        Ok(RetryDecision::Retry { delay }) => {
            shared.metrics.requests_retried.inc();
            let time_left = attempts.deadline.saturating_sub(shared.now());
            tokio::time::sleep(delay.min(time_left).max(Duration::ZERO)).await;
            true
        }
        Ok(RetryDecision::GiveUp) | Err(_) => false,
    }
}

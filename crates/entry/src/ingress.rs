//! Requests of callers: choice of owners, retries, hedges and reservations.

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

/// Shortest time to the start of an answer that counts as slow. Longer than the owner's own wait
/// for its endpoint, so that the owner can move the read to a new connection first.
const MIN_SLOW: Duration = Duration::from_millis(400);

/// Time to the start of an answer that counts as slow, as a multiple of the usual time.
const SLOW_FACTOR: u32 = 8;

/// Sends a read to an owner, again or twice as far as the profile allows.
pub(crate) async fn send_read(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
) -> Result<ProxyResponse, RequestError> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    shared.with_routing(|d, _| {
        let fraction = (d.config.profile_of(cx.service)).map_or(0.0, |p| p.retry_budget);
        d.reconnect_budgets
            .entry(cx.service)
            .or_default()
            .deposit(fraction);
    })?;
    let mut next = Some(outbound);
    let mut freshness = Freshness::of(cx.class);
    let mut last = None;
    loop {
        let owner = choose(shared, cx, &mut attempts, last.take())?;
        let Some(current) = next.take() else {
            return Err(ErrorKind::Internal.into());
        };
        next = current.try_clone();
        let copy = current.try_clone();
        let first = attempt(shared, cx, owner, current, freshness);
        let (refusal, answer) = match doubled(shared, cx, &mut attempts, first, copy).await {
            Ok(answer) if answer.status.is_server_error() => {
                (RequestError::from(ErrorKind::UpstreamFailed), Some(answer))
            }
            Ok(answer) => return Ok(answer),
            Err(refusal) => (refusal, None),
        };
        // A refusal proves that the connections to owners work.
        if !refusal.did_not_run() {
            freshness = Freshness::New;
        }
        // A read whose body cannot be sent again has one attempt.
        match next.is_some() && wait_for_retry(shared, &mut attempts, &refusal).await {
            true => last = Some(refusal),
            // The endpoint's own error says more than ours.
            false => return answer.ok_or(refusal),
        }
    }
}

/// Reserves a slot for an upload and streams it there. Another owner is asked only while no byte
/// of the body has been sent.
pub(crate) async fn send_upload(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: OutboundRequest,
) -> Result<ProxyResponse, RequestError> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    let mut last = None;
    loop {
        let owner = choose(shared, cx, &mut attempts, last.take())?;
        let guard = AttemptGuard::new(shared, owner, cx.service, slow_after(shared, cx));
        let refusal = if shared.entry_id() == Some(owner) {
            match admit(shared, cx).await {
                Ok(permit) => {
                    let result = forward_to_endpoint(shared, cx, outbound, permit).await;
                    return finish_attempt(shared, cx, owner, guard, result);
                }
                Err(refusal) => refusal,
            }
        } else {
            match remote::reserve(shared, cx, owner).await {
                Ok(permit) => {
                    let permit = Some(permit.as_str());
                    let freshness = Freshness::of(cx.class);
                    let result =
                        remote::forward(shared, cx, outbound, owner, permit, freshness).await;
                    return finish_attempt(shared, cx, owner, guard, result);
                }
                Err(refusal) => refusal,
            }
        };
        let refusal = match finish_attempt(shared, cx, owner, guard, Err(refusal)) {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        match wait_for_retry(shared, &mut attempts, &refusal).await {
            true => last = Some(refusal),
            false => return Err(refusal),
        }
    }
}

/// Sends a claimed at-most-once action. Another owner is asked only after a refusal that proves
/// that the action did not run.
pub(crate) async fn send_action(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    outbound: &OutboundRequest,
) -> Result<ProxyResponse, RequestError> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    let mut last = None;
    loop {
        let owner = choose(shared, cx, &mut attempts, last.take())?;
        let Some(copy) = outbound.try_clone() else {
            return Err(ErrorKind::Internal.into());
        };
        let refusal = match attempt(shared, cx, owner, copy, Freshness::of(cx.class)).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let retry = refusal.did_not_run() && wait_for_retry(shared, &mut attempts, &refusal).await;
        match retry {
            true => last = Some(refusal),
            false => return Err(refusal),
        }
    }
}

/// One attempt at an owner, on this VM or another.
async fn attempt(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    owner: EntryId,
    outbound: OutboundRequest,
    freshness: Freshness,
) -> Result<ProxyResponse, RequestError> {
    let guard = AttemptGuard::new(shared, owner, cx.service, slow_after(shared, cx));
    let result = match shared.entry_id() == Some(owner) {
        true => match admit(shared, cx).await {
            Ok(permit) => forward_to_endpoint(shared, cx, outbound, permit).await,
            Err(refusal) => Err(refusal),
        },
        false => remote::forward(shared, cx, outbound, owner, None, freshness).await,
    };
    finish_attempt(shared, cx, owner, guard, result)
}

/// Runs an attempt and, if its answer is slow and the profile allows it, a second one. The first
/// one goes on: it may be slow for a good reason. The slower one is cancelled.
async fn doubled<F>(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
    attempts: &mut Attempts,
    first: F,
    copy: Option<OutboundRequest>,
) -> Result<ProxyResponse, RequestError>
where
    F: Future<Output = Result<ProxyResponse, RequestError>>,
{
    let mut first = pin!(first);
    let Some(copy) = copy else {
        return first.await;
    };
    let hedge_delay = shared.with_routing(|d, _| d.router.hedge_delay(attempts))?;
    let slow = slow_after(shared, cx);
    let mut owner = None;
    if let Some(delay) = hedge_delay {
        if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
            return result;
        }
        owner = shared.with_routing(|d, now| match d.is_overloaded(now, cx.service) {
            true => None,
            false => d.router.hedge(now, attempts),
        })?;
        if let Some(owner) = owner {
            shared.metrics.hedged.inc();
            shared
                .traces
                .record(&cx.id, shared.now(), TraceEvent::Hedged(owner));
        }
    }
    let owner = match owner {
        Some(owner) => owner,
        None => {
            let rest = slow.saturating_sub(hedge_delay.unwrap_or_default());
            if let Ok(result) = tokio::time::timeout(rest, &mut first).await {
                return result;
            }
            // Without free capacity, a slow attempt most likely waits in its owner's queue.
            let pressed = shared.with_routing(|d, now| d.is_overloaded(now, cx.service))?;
            let timed_out = RequestError::from(ErrorKind::DeadlineExceeded);
            if pressed || !wait_for_retry(shared, attempts, &timed_out).await {
                return first.await;
            }
            match choose(shared, cx, attempts, None) {
                Ok(owner) => owner,
                Err(_) => return first.await,
            }
        }
    };
    // On a new connection, because the first attempt may wait on a silent one.
    let second = pin!(attempt(shared, cx, owner, copy, Freshness::New));
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

/// How long an attempt may take to start its answer before it counts as slow.
pub(crate) fn slow_after(shared: &ServerState, cx: &RequestContext) -> Duration {
    let usual = shared.with_routing(|d, _| {
        let profile = d.config.profile_of(cx.service);
        let queue = profile.map_or(Duration::ZERO, |p| p.queue_timeout);
        (queue, d.average_first_byte(cx.service))
    });
    // A request may wait in its owner's queue for a good reason.
    match usual {
        Ok((queue, Some(usual))) => queue + (usual * SLOW_FACTOR).max(MIN_SLOW),
        Ok((queue, None)) => queue + MIN_SLOW,
        Err(_) => MIN_SLOW,
    }
}

/// Asks the router for an owner. If there is none left, the last refusal says more than that.
fn choose(
    shared: &ServerState,
    cx: &RequestContext,
    attempts: &mut Attempts,
    last: Option<RequestError>,
) -> Result<EntryId, RequestError> {
    cx.remaining(shared.now())
        .map_err(|e| last.clone().unwrap_or(e))?;
    let chosen: Result<EntryId, ErrorKind> = shared.with_routing(|d, now| {
        let owner = d.router.choose_owner(now, attempts)?;
        let name = &d.config.topology.entries[owner.index()].name;
        shared.metrics.chosen.with_label_values(&[name]).inc();
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
            let refusal = last.unwrap_or_else(|| RequestError::from(kind));
            Err(shared.with_retry_after(refusal, cx.service))
        }
    }
}

/// Reports the result of an attempt, except for the end of the body, which follows later.
fn finish_attempt(
    shared: &ServerState,
    cx: &RequestContext,
    owner: EntryId,
    mut guard: AttemptGuard,
    result: Result<ProxyResponse, RequestError>,
) -> Result<ProxyResponse, RequestError> {
    match result {
        Ok(answer) if answer.status.is_server_error() => {
            guard.server_error();
            Ok(answer)
        }
        Ok(mut answer) => {
            let first_byte = guard.started();
            if shared.entry_id() != Some(owner) {
                // Answers of own endpoints were recorded by the owner's part.
                shared.with_routing(|d, _| d.record_first_byte(cx.service, first_byte))?;
            }
            answer.body = Box::pin(TrackedBody::new(answer.body, guard));
            Ok(answer)
        }
        Err(refusal) => {
            shared.with_routing(|d, now| d.record_error(now, cx.service, refusal.kind))?;
            let step = TraceEvent::AttemptFailed(owner, refusal.kind);
            shared.traces.record(&cx.id, shared.now(), step);
            guard.refused(&refusal);
            Err(refusal)
        }
    }
}

/// Asks the router whether to try again, and waits as long as it says.
async fn wait_for_retry(
    shared: &ServerState,
    attempts: &mut Attempts,
    refusal: &RequestError,
) -> bool {
    let decision =
        shared.with_routing(|d, now| d.router.after_failure(now, attempts, refusal.kind));
    match decision {
        Ok(RetryDecision::Retry { delay }) => {
            shared.metrics.retried.inc();
            let left = attempts.deadline.saturating_sub(shared.now());
            tokio::time::sleep(delay.min(left).max(Duration::ZERO)).await;
            true
        }
        Ok(RetryDecision::GiveUp) | Err(_) => false,
    }
}

//! Requests of callers: choice of owners, retries, hedges and reservations.

use crate::admit::admit;
use crate::answer::Answer;
use crate::attempt_guard::AttemptGuard;
use crate::explain::Step;
use crate::outbound::Outbound;
use crate::owner::serve;
use crate::refusal::Refusal;
use crate::remote;
use crate::request_context::RequestContext;
use crate::shared::Shared;
use crate::tracked_body::TrackedBody;
use futures::future::{Either, select};
use mangospindle_model::{EntryId, ErrorKind};
use mangospindle_routing::{Attempts, RetryDecision};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Sends a read to an owner, again or twice as far as the profile allows.
pub(crate) async fn read(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    outbound: Outbound,
) -> Result<Answer, Refusal> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    shared.decide(|d, _| {
        let fraction = d
            .config
            .profile_of(cx.service)
            .map_or(0.0, |p| p.retry_budget);
        d.moves.entry(cx.service).or_default().deposit(fraction);
    })?;
    let mut outbound = Some(outbound);
    let mut last = None;
    loop {
        let owner = choose(shared, cx, &mut attempts, last.take())?;
        // A read whose body cannot be sent again has one attempt.
        let again = outbound.as_ref().and_then(Outbound::duplicate);
        let Some(current) = outbound.take() else {
            return Err(ErrorKind::Internal.into());
        };
        let has_copy = again.is_some();
        outbound = again;
        let copy = outbound.as_ref().and_then(Outbound::duplicate);
        let refusal = match hedged(shared, cx, &mut attempts, owner, current, copy).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        match has_copy && wait_for_retry(shared, &mut attempts, &refusal).await {
            true => last = Some(refusal),
            false => return Err(refusal),
        }
    }
}

/// Reserves a slot for an upload and streams it there. Another owner is asked only while no byte
/// of the body has been sent.
pub(crate) async fn upload(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    outbound: Outbound,
) -> Result<Answer, Refusal> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    let mut last = None;
    loop {
        let owner = choose(shared, cx, &mut attempts, last.take())?;
        let guard = AttemptGuard::new(shared, owner, cx.service);
        let refusal = if shared.entry() == Some(owner) {
            match admit(shared, cx).await {
                Ok(permit) => {
                    let result = serve(shared, cx, outbound, permit).await;
                    return finish_attempt(shared, cx, owner, guard, result);
                }
                Err(refusal) => refusal,
            }
        } else {
            match remote::reserve(shared, cx, owner).await {
                Ok(permit) => {
                    let permit = Some(permit.as_str());
                    let result = remote::forward(shared, cx, outbound, owner, permit).await;
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
pub(crate) async fn action(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    outbound: &Outbound,
) -> Result<Answer, Refusal> {
    let mut attempts = Attempts::new(cx.service, cx.class, cx.home, cx.deadline);
    let mut last = None;
    loop {
        let owner = choose(shared, cx, &mut attempts, last.take())?;
        let Some(copy) = outbound.duplicate() else {
            return Err(ErrorKind::Internal.into());
        };
        let refusal = match attempt(shared, cx, owner, copy).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let retry = refusal.is_not_run() && wait_for_retry(shared, &mut attempts, &refusal).await;
        match retry {
            true => last = Some(refusal),
            false => return Err(refusal),
        }
    }
}

/// One attempt at an owner, on this VM or another.
async fn attempt(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    owner: EntryId,
    outbound: Outbound,
) -> Result<Answer, Refusal> {
    let guard = AttemptGuard::new(shared, owner, cx.service);
    let result = match shared.entry() == Some(owner) {
        true => match admit(shared, cx).await {
            Ok(permit) => serve(shared, cx, outbound, permit).await,
            Err(refusal) => Err(refusal),
        },
        false => remote::forward(shared, cx, outbound, owner, None).await,
    };
    finish_attempt(shared, cx, owner, guard, result)
}

/// Runs an attempt and, if the answer is slow and the profile allows it, a second one. The slower
/// one is cancelled.
async fn hedged(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    attempts: &mut Attempts,
    owner: EntryId,
    outbound: Outbound,
    copy: Option<Outbound>,
) -> Result<Answer, Refusal> {
    let mut first = pin!(attempt(shared, cx, owner, outbound));
    let delay = shared.decide(|d, _| d.router.hedge_delay(attempts))?;
    let (Some(delay), Some(copy)) = (delay, copy) else {
        return first.await;
    };
    if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
        return result;
    }
    let Some(second_owner) = shared.decide(|d, now| d.router.hedge(now, attempts))? else {
        return first.await;
    };
    shared.metrics.hedged.inc();
    shared
        .explain
        .step(&cx.id, shared.now(), Step::Hedged(second_owner));
    let second = pin!(attempt(shared, cx, second_owner, copy));
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

/// Asks the router for an owner. If there is none left, the last refusal says more than that.
fn choose(
    shared: &Shared,
    cx: &RequestContext,
    attempts: &mut Attempts,
    last: Option<Refusal>,
) -> Result<EntryId, Refusal> {
    cx.remaining(shared.now())
        .map_err(|e| last.clone().unwrap_or(e))?;
    let chosen: Result<EntryId, ErrorKind> = shared.decide(|d, now| {
        let owner = d.router.choose(now, attempts)?;
        let name = &d.config.topology.entries[owner.index()].name;
        shared.metrics.chosen.with_label_values(&[name]).inc();
        Ok(owner)
    })?;
    match chosen {
        Ok(owner) => {
            shared
                .explain
                .step(&cx.id, shared.now(), Step::Chosen(owner));
            Ok(owner)
        }
        Err(kind) => {
            let refusal = last.unwrap_or_else(|| Refusal::from(kind));
            Err(shared.with_retry_after(refusal, cx.service))
        }
    }
}

/// Reports the result of an attempt, except for the end of the body, which follows later.
fn finish_attempt(
    shared: &Shared,
    cx: &RequestContext,
    owner: EntryId,
    guard: AttemptGuard,
    result: Result<Answer, Refusal>,
) -> Result<Answer, Refusal> {
    match result {
        Ok(mut answer) => {
            guard.started();
            answer.body = Box::pin(TrackedBody::new(answer.body, guard));
            Ok(answer)
        }
        Err(refusal) => {
            let step = Step::Failed(owner, refusal.kind);
            shared.explain.step(&cx.id, shared.now(), step);
            guard.refused(&refusal);
            Err(refusal)
        }
    }
}

/// Asks the router whether to try again, and waits as long as it says.
async fn wait_for_retry(shared: &Shared, attempts: &mut Attempts, refusal: &Refusal) -> bool {
    let decision = shared.decide(|d, now| d.router.after_failure(now, attempts, refusal.kind));
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

//! Serving requests with the endpoints that this entry owns.

use crate::admit::{admit, is_repeatable};
use crate::answer::Answer;
use crate::call::{Call, CallPlan};
use crate::client::{BodyError, ExchangeError, ResponseHead, Target};
use crate::connect::Freshness;
use crate::exchange_body::ExchangeBody;
use crate::explain::Step;
use crate::headers::{self, REQUEST_ID, REQUEST_RUN, SERVED_BY, SERVED_REGION};
use crate::outbound::Outbound;
use crate::permit_guard::PermitGuard;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::shared::Shared;
use mangospindle_model::{CanHaveRun, ErrorKind};
use mangospindle_quota::RequestResult;
use std::sync::Arc;
use std::time::Duration;

/// Shortest wait for the first byte on a reused connection before a read moves to a new one.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Wait for the first byte, as a multiple of the usual time.
const ATTEMPT_FACTOR: u32 = 4;

/// What follows an attempt at an endpoint.
enum Next {
    Answer(Box<Answer>),
    /// The endpoint has closed the connection without an answer; the slot is free to be used again.
    SameSlot(PermitGuard),
    /// The connection is silent; the slot stays occupied.
    OtherSlot,
    Refuse(Refusal),
}

/// Sends a request to the permit's endpoint and waits for the start of its answer.
///
/// A read whose reused connection turns out to be closed or silent moves to a new connection once.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    mut outbound: Outbound,
    permit: PermitGuard,
) -> Result<Answer, Refusal> {
    let mut permit = permit;
    let mut freshness = Freshness::of(cx.class);
    loop {
        permit = match attempt(shared, cx, &mut outbound, permit, freshness).await {
            Next::Answer(answer) => return Ok(*answer),
            Next::Refuse(refusal) => return Err(shared.with_retry_after(refusal, cx.service)),
            Next::SameSlot(permit) => permit,
            Next::OtherSlot => admit(shared, cx).await?,
        };
        freshness = Freshness::New;
        shared.metrics.moved.inc();
    }
}

async fn attempt(
    shared: &Arc<Shared>,
    cx: &RequestContext,
    outbound: &mut Outbound,
    permit: PermitGuard,
    freshness: Freshness,
) -> Next {
    let endpoint = permit.endpoint();
    let deadline = permit.deadline();
    let address = shared.decide(|d, _| {
        let endpoint = d.config.topology.endpoints.get(endpoint.index());
        endpoint.map(|e| e.address)
    });
    let Ok(Some(address)) = address else {
        return Next::Refuse(ErrorKind::NoEndpoint.into());
    };
    shared
        .explain
        .step(&cx.id, shared.now(), Step::Dispatched(endpoint));
    let plan = CallPlan {
        target: Target::Endpoint(endpoint),
        address,
        freshness,
        deadline,
    };
    let prepared = Call::prepare(shared, cx, outbound, &plan, Some(permit)).await;
    let mut call = match prepared {
        Ok(call) => call,
        Err((refusal, permit)) => {
            if let (Some(mut permit), ErrorKind::NoEndpoint) = (permit, refusal.kind) {
                permit.set_result(RequestResult::Failed);
            }
            return Next::Refuse(refusal);
        }
    };
    let may_move = is_repeatable(cx.class) && call.reused && outbound.can_send();
    let left = deadline.saturating_sub(shared.now());
    let timeout = match may_move {
        true => attempt_timeout(shared, cx).min(left),
        false => left,
    };
    match call.head(shared, timeout).await {
        Some(Ok(head)) => answered(shared, cx, head, call),
        Some(Err(e)) => failed(e, call, may_move),
        None => {
            if let Some(permit) = call.permit() {
                permit.set_result(RequestResult::TimedOut);
            }
            // Dropping the call keeps the slot until the endpoint lets go of the request.
            drop(call);
            match may_move && timeout < left && take_move(shared, cx) {
                true => Next::OtherSlot,
                false => Next::Refuse(ErrorKind::DeadlineExceeded.into()),
            }
        }
    }
}

fn answered(shared: &Arc<Shared>, cx: &RequestContext, head: ResponseHead, call: Call) -> Next {
    let first_byte = shared.now().saturating_sub(call.sent_at);
    let (exchange, mut permit) = call.into_parts();
    let refused = headers::text(&head.headers, REQUEST_RUN) == Some(CanHaveRun::No.as_str());
    if head.status.is_server_error() && refused {
        // The endpoint says that it did not run the request.
        if let Some(permit) = &mut permit {
            permit.set_result(RequestResult::Shed);
        }
        return Next::Refuse(Refusal::new(ErrorKind::Shed, "refused by the endpoint"));
    }
    let result = match head.status.is_server_error() {
        true => RequestResult::Failed,
        false => RequestResult::Answered { first_byte },
    };
    let served = shared.decide(|d, _| {
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
    Next::Answer(Box::new(Answer {
        status: head.status,
        headers: out,
        framing: head.framing,
        declared: head.declared,
        body: Box::pin(body),
    }))
}

/// Judges an attempt without an answer.
fn failed(e: ExchangeError, mut call: Call, may_move: bool) -> Next {
    let kind = match e {
        ExchangeError::Body(BodyError::LengthMismatch) => ErrorKind::BodyLengthMismatch,
        ExchangeError::Body(BodyError::Incomplete) => ErrorKind::BadRequest,
        _ if !call.has_started() => ErrorKind::NoEndpoint,
        _ => ErrorKind::UpstreamFailed,
    };
    match (e, call.take_permit()) {
        (ExchangeError::Closed, Some(permit)) if may_move => Next::SameSlot(permit),
        (ExchangeError::Body(_), _) => Next::Refuse(kind.into()),
        (_, permit) => {
            if let Some(mut permit) = permit {
                permit.set_result(RequestResult::Failed);
            }
            Next::Refuse(Refusal::new(kind, e.to_string()))
        }
    }
}

/// How long to wait for the first byte on a reused connection.
fn attempt_timeout(shared: &Shared, cx: &RequestContext) -> Duration {
    let usual = shared.decide(|d, _| d.usual_first_byte(cx.service));
    match usual {
        Ok(Some(usual)) => (usual * ATTEMPT_FACTOR).max(MIN_ATTEMPT_TIMEOUT),
        Ok(None) | Err(_) => MIN_ATTEMPT_TIMEOUT,
    }
}

/// Takes one move from the service's budget.
fn take_move(shared: &Shared, cx: &RequestContext) -> bool {
    let taken = shared.decide(|d, _| d.moves.entry(cx.service).or_default().withdraw());
    taken.unwrap_or(false)
}

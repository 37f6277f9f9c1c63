//! One send of a request to one endpoint.

use crate::connect::connect;
use crate::gateway::Gateway;
use crate::inbound::Inbound;
use crate::reply::{Reply, ReplyBody, Streamed};
use crate::send_guard::SendGuard;
use actix_web::http::Method;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use mangospindle_client::{
    BodyFraming, BodyStream, Exchange, ExchangeError, RequestHead, ResponseHead, Upload, end_to_end,
};
use mangospindle_dispatch::{Choice, EndpointKey, Outcome};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of an answer that are read before it is passed on. An answer that breaks off within them
/// can still be replaced by that of another endpoint.
const BUFFERED_BYTES: usize = 1 << 20;

/// What became of a send.
pub(crate) enum Sent {
    /// The endpoint's answer.
    Answer(Reply),
    /// The endpoint's answer to a request that it ran and failed.
    Error(Reply),
    /// The request provably did not run; the endpoint rejected it.
    Rejected,
    /// Nothing was sent.
    Unreachable,
    /// The request may have run; there is no answer.
    Failed(ExchangeError),
    /// The time was over; the request may have run.
    TimedOut,
}

impl Sent {
    /// Stable name for logs.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Sent::Answer(_) => "answer",
            Sent::Error(_) => "error",
            Sent::Rejected => "rejected",
            Sent::Unreachable => "unreachable",
            Sent::Failed(_) => "failed",
            Sent::TimedOut => "timed_out",
        }
    }
}

/// What all sends of a request have in common.
pub(crate) struct Job<'a> {
    pub(crate) inbound: &'a Inbound,
    pub(crate) id: &'a str,
    pub(crate) idempotent: bool,
    /// When the caller needs the answer, on the local clock.
    pub(crate) deadline: Duration,
}

/// Sends a request to the chosen endpoint and reads its answer.
pub(crate) async fn attempt(gateway: &Rc<Gateway>, job: &Job<'_>, choice: &Choice) -> Sent {
    let mut guard = SendGuard::new(Rc::clone(gateway), choice.ticket);
    let left = job.deadline.saturating_sub(gateway.now());
    let lease = match connect(gateway, choice, job.idempotent, left).await {
        Ok(lease) => lease,
        Err(e) => {
            log::debug!("cannot connect to {}: {e}", choice.address);
            guard.finish(Outcome::Unreachable);
            return Sent::Unreachable;
        }
    };
    let left = job.deadline.saturating_sub(gateway.now());
    let Ok(upload) = upload(gateway, job, choice, left) else {
        guard.finish(Outcome::Cancelled);
        return Sent::Unreachable;
    };
    let mut exchange = Exchange::new(lease, job.inbound.method.clone(), upload)
        .expect_id(job.id)
        .accept_unframed();
    let head = exchange.head(&*gateway.clock);
    match tokio::time::timeout(left, head).await {
        Ok(Ok(head)) => answered(gateway, job, head, exchange, guard).await,
        Ok(Err(_)) if !exchange.has_started() => {
            guard.finish(Outcome::Unreachable);
            Sent::Unreachable
        }
        Ok(Err(e)) => {
            guard.finish(Outcome::Failed);
            Sent::Failed(e)
        }
        Err(_) => {
            guard.finish(Outcome::TimedOut);
            Sent::TimedOut
        }
    }
}

fn upload(
    gateway: &Gateway,
    job: &Job<'_>,
    choice: &Choice,
    left: Duration,
) -> Result<Upload, ExchangeError> {
    let mut headers = end_to_end(&job.inbound.headers, &["host", "expect"]);
    gateway
        .protocol
        .set_request_headers(&mut headers, &choice.instance, left);
    let head = RequestHead {
        method: job.inbound.method.clone(),
        path: job.inbound.target.clone(),
        headers,
    };
    let body = job.inbound.body.clone();
    let (framing, body) = match body.is_empty() && !announces_body(&job.inbound.method) {
        true => (BodyFraming::None, None),
        false => (BodyFraming::Length(body.len() as u64), Some(once(body))),
    };
    Upload::new(head, &job.inbound.host, framing, body)
}

/// Whether a request with this method states the length of an empty body.
fn announces_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn once(body: Bytes) -> BodyStream {
    match body.is_empty() {
        true => stream::empty().boxed_local(),
        false => stream::iter([Ok(body)]).boxed_local(),
    }
}

async fn answered(
    gateway: &Gateway,
    job: &Job<'_>,
    head: ResponseHead,
    exchange: Exchange<EndpointKey>,
    mut guard: SendGuard,
) -> Sent {
    let signals = gateway.protocol.response_metadata(&head);
    if signals.misdirected {
        guard.finish(Outcome::Misdirected);
        return Sent::Rejected;
    }
    if signals.not_run {
        drain(exchange).await;
        guard.finish(Outcome::Rejected { load: signals.load });
        return Sent::Rejected;
    }
    guard.answer_started(signals.load);
    let erred = head.status.is_server_error();
    let left = job.deadline.saturating_sub(gateway.now());
    let read = read_body(&head, exchange, guard, job.deadline, erred);
    match tokio::time::timeout(left, read).await {
        Ok(Ok(body)) if erred => Sent::Error(Reply::from_endpoint(&head, body)),
        Ok(Ok(body)) => Sent::Answer(Reply::from_endpoint(&head, body)),
        Ok(Err(e)) => Sent::Failed(e),
        Err(_) => Sent::TimedOut,
    }
}

/// Reads the rest of a short answer, so that its connection can be used again.
async fn drain(mut exchange: Exchange<EndpointKey>) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
    let rest = async { while let Some(Ok(_)) = poll_fn(|cx| exchange.poll_chunk(cx)).await {} };
    // Without the end in time, the connection is closed.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
}

async fn read_body(
    head: &ResponseHead,
    mut exchange: Exchange<EndpointKey>,
    mut guard: SendGuard,
    deadline: Duration,
    erred: bool,
) -> Result<ReplyBody, ExchangeError> {
    let mut chunks = Vec::new();
    let mut size = 0;
    loop {
        match poll_fn(|cx| exchange.poll_chunk(cx)).await {
            Some(Ok(chunk)) => {
                size += chunk.len();
                chunks.push(chunk);
            }
            Some(Err(e)) => {
                guard.finish(Outcome::Failed);
                return Err(e);
            }
            None => break,
        }
        if size > BUFFERED_BYTES {
            let length = match head.framing {
                BodyFraming::Length(n) => Some(n),
                BodyFraming::None | BodyFraming::Chunked | BodyFraming::UntilClose => None,
            };
            return Ok(ReplyBody::Streamed(Box::new(Streamed {
                first: chunks,
                exchange,
                length,
                guard,
                deadline,
            })));
        }
    }
    match erred {
        true => guard.finish(Outcome::Erred { load: None }),
        false => guard.finish_answered(),
    }
    if head.framing == BodyFraming::None {
        return Ok(ReplyBody::None(head.declared));
    }
    let mut whole = BytesMut::with_capacity(size);
    chunks.iter().for_each(|c| whole.extend_from_slice(c));
    Ok(ReplyBody::Whole(whole.freeze()))
}

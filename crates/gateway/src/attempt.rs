//! One attempt to send a request to an endpoint.

use crate::access::{Access, RELAYED_WORKSPACE_NAME};
use crate::connect::ConnectError;
use crate::connection_check::{NoConnection, check_later, connect_for_request, draw_later_check};
use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use crate::inbound_request::InboundRequest;
use crate::origin::Origin;
use crate::requests_in_progress::RequestKey;
use crate::response::{Response, ResponseBody, StreamedBody};
use crate::send_guard::SendGuard;
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use mangospindle_client::{
    BodyFraming, BodyStream, Exchange, ExchangeError, ExpectedId, Lease, RequestHead,
    RequestWriter, ResponseHead, end_to_end_headers,
};
use mangospindle_dispatch::{Choice, Outcome};
use mangospindle_telemetry::event;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a response that are buffered before it is forwarded. If a response is truncated within
/// this limit, another endpoint can still serve the request.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Headers of a caller's request that are not forwarded, besides those of a connection. A caller cannot
/// name a workspace for a relayed request.
pub(crate) const DROPPED_HEADERS: &[&str] = &["host", "expect", RELAYED_WORKSPACE_NAME];

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The endpoint's response.
    Success(Response),
    /// A server error that the endpoint returned after it ran the request.
    ServerError(Response),
    /// The endpoint rejected the request and confirmed that it did not run.
    Rejected,
    /// Nothing was sent to the endpoint.
    Unreachable,
    /// Nothing was sent to the endpoint: its check found that it is cold, had no result, or left no time.
    Unchecked,
    /// The request may have run, but there is no complete response.
    Failed(ExchangeError),
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The process exits; the request may have run.
    Interrupted,
}

impl AttemptResult {
    /// Stable name for logs and metrics.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            AttemptResult::Success(_) => "answer",
            AttemptResult::ServerError(_) => "error",
            AttemptResult::Rejected => "rejected",
            AttemptResult::Unreachable => "unreachable",
            AttemptResult::Unchecked => "unchecked",
            AttemptResult::Failed(_) => "failed",
            AttemptResult::TimedOut => "timed_out",
            AttemptResult::Interrupted => "interrupted",
        }
    }
}

/// Data shared by all attempts of a request.
pub(crate) struct AttemptContext<'a> {
    pub(crate) inbound: &'a InboundRequest,
    /// Request id, or an empty string.
    pub(crate) id: &'a str,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    pub(crate) origin: Origin,
    pub(crate) access: &'a Access,
    /// When the response has to be complete, on the local clock.
    pub(crate) deadline: Duration,
    /// Key of the request in [`Gateway::in_progress`].
    pub(crate) progress: RequestKey,
}

/// Sends a request to the chosen endpoint and reads its response.
pub(crate) async fn attempt(
    gateway: &Rc<Gateway>,
    context: &AttemptContext<'_>,
    choice: &Choice,
) -> AttemptResult {
    let mut guard = SendGuard::new(Rc::clone(gateway), choice.ticket);
    let mut lease = match connect_for_request(gateway, choice, context).await {
        Ok(lease) => lease,
        Err(e) => {
            log::debug!("no connection to {}: {e}", choice.address);
            let (outcome, result) = match e {
                NoConnection::Connect(ConnectError::ClosedWhileIdle) => {
                    (Outcome::ClosedWhileIdle, AttemptResult::Unreachable)
                }
                NoConnection::Connect(ConnectError::Unreachable(_)) => {
                    (Outcome::Unreachable, AttemptResult::Unreachable)
                }
                NoConnection::Cold => (Outcome::Cancelled, AttemptResult::Unchecked),
                NoConnection::Misdirected => (Outcome::Misdirected, AttemptResult::Unchecked),
                NoConnection::CheckRejected { load } => {
                    (Outcome::CheckRejected { load }, AttemptResult::Unchecked)
                }
                NoConnection::CheckTimedOut => (Outcome::CheckTimedOut, AttemptResult::Unchecked),
            };
            guard.finish(outcome);
            return result;
        }
    };
    let peer_is_warm = lease.connection().is_some_and(|c| c.peer_is_warm);
    let checks_later = !peer_is_warm && !choice.cold && draw_later_check();
    event!(Debug, "request_connected", "request" => context.id, "endpoint" => choice.instance,
        "reused" => lease.is_reused(), "others_open" => gateway.pool.has_open(lease.target()));
    let sent_at = gateway.now();
    let remaining = context.deadline.saturating_sub(sent_at);
    if remaining.is_zero() {
        guard.finish(Outcome::Cancelled);
        return AttemptResult::Unchecked;
    }
    let Ok(request_writer) = encode_request(gateway, context, choice, remaining) else {
        guard.finish(Outcome::Cancelled);
        return AttemptResult::Unreachable;
    };
    let method = context.inbound.method.clone();
    let expected_id = ExpectedId::in_success(context.id);
    let mut exchange =
        Exchange::new(lease, method, request_writer, expected_id).accept_close_delimited();
    if checks_later {
        exchange = exchange.keep_connection();
    }
    let head = exchange.send_request(&*gateway.clock);
    match tokio::time::timeout(remaining, head).await {
        Ok(Ok(head)) => {
            if peer_is_warm {
                gateway.record_warm_response(sent_at, choice.ticket.endpoint);
            }
            handle_response(gateway, context, choice, head, exchange, guard).await
        }
        Ok(Err(_)) if !exchange.has_started() => {
            guard.finish(Outcome::Unreachable);
            AttemptResult::Unreachable
        }
        Ok(Err(e)) => {
            let target = ConnectionTarget::Endpoint(choice.ticket.endpoint);
            guard.finish(match e {
                // An endpoint that restarts closes all of its connections.
                ExchangeError::Closed if !gateway.pool.has_open(target) => Outcome::Disconnected,
                _ => Outcome::Failed,
            });
            AttemptResult::Failed(e)
        }
        Err(_) => {
            guard.finish(Outcome::TimedOut);
            AttemptResult::TimedOut
        }
    }
}

/// Encodes the request for the chosen endpoint.
fn encode_request(
    gateway: &Gateway,
    context: &AttemptContext<'_>,
    choice: &Choice,
    remaining: Duration,
) -> Result<RequestWriter, ExchangeError> {
    let mut headers = end_to_end_headers(&context.inbound.headers, DROPPED_HEADERS);
    context.access.set_workspace_header(gateway, &mut headers);
    gateway
        .protocol
        .set_request_headers(&mut headers, &choice.instance, remaining);
    request_writer(context, headers)
}

/// Encodes the request with these headers.
pub(crate) fn request_writer(
    context: &AttemptContext<'_>,
    headers: HeaderMap,
) -> Result<RequestWriter, ExchangeError> {
    let head = RequestHead {
        method: context.inbound.method.clone(),
        path: context.inbound.target.clone(),
        headers,
    };
    let body = context.inbound.body.clone();
    let (framing, body) = match body.is_empty() && !expects_body(&context.inbound.method) {
        true => (BodyFraming::None, None),
        false => (
            BodyFraming::Length(body.len() as u64),
            Some(single_chunk(body)),
        ),
    };
    RequestWriter::new(head, &context.inbound.host, framing, body)
}

/// Whether a request with this method sends `Content-Length` even if its body is empty.
fn expects_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

/// A body stream of one chunk, or of none if the body is empty.
fn single_chunk(body: Bytes) -> BodyStream {
    match body.is_empty() {
        true => stream::empty().boxed_local(),
        false => stream::iter([Ok(body)]).boxed_local(),
    }
}

/// Classifies a response by its head and reads its body.
async fn handle_response(
    gateway: &Rc<Gateway>,
    context: &AttemptContext<'_>,
    choice: &Choice,
    head: ResponseHead,
    exchange: Exchange<ConnectionTarget>,
    mut guard: SendGuard,
) -> AttemptResult {
    let checks_later = exchange.keeps_connection();
    (gateway.paths.borrow_mut()).record_response(gateway.now());
    let metadata = gateway.protocol.response_metadata(&head);
    if metadata.misdirected {
        guard.finish(Outcome::Misdirected);
        return AttemptResult::Rejected;
    }
    gateway.record_notices(choice, metadata.notices);
    if metadata.not_run {
        // The head alone is the promise that the request has not run.
        let lease = drain_body(exchange).await.ok().flatten();
        guard.finish(Outcome::Rejected {
            load: metadata.load,
        });
        if checks_later {
            check_later(gateway, choice, lease);
        }
        return AttemptResult::Rejected;
    }
    guard.record_response_head(metadata.load);
    let server_error = head.status.is_server_error();
    let remaining = context.deadline.saturating_sub(gateway.now());
    let read = read_body(&head, exchange, guard, context.deadline, server_error);
    let (body, lease) = match tokio::time::timeout(remaining, read).await {
        Ok(Ok(read)) => read,
        Ok(Err(e)) => return AttemptResult::Failed(e),
        Err(_) => return AttemptResult::TimedOut,
    };
    if checks_later {
        check_later(gateway, choice, lease);
    }
    let response = Response::from_endpoint(&head, body);
    match server_error {
        true => AttemptResult::ServerError(response),
        false => AttemptResult::Success(response),
    }
}

/// Reads the rest of a short response, so that its connection can be reused. Returns the connection if
/// the body ends in time and the exchange keeps it.
///
/// # Errors
///
/// See [`ExchangeError`]: the body is truncated or malformed.
pub(crate) async fn drain_body(
    mut exchange: Exchange<ConnectionTarget>,
) -> Result<Option<Lease<ConnectionTarget>>, ExchangeError> {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
    let read_rest = async {
        while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
            chunk?;
        }
        Ok(())
    };
    match tokio::time::timeout(DRAIN_TIMEOUT, read_rest).await {
        Ok(read) => read.map(|()| exchange.abandon()),
        // Dropping the exchange closes the connection.
        Err(_) => Ok(None),
    }
}

/// Buffers the body of a response. A body beyond [`MAX_BUFFERED_BYTES`] is returned as a stream. Also
/// returns the connection if the exchange keeps it.
pub(crate) async fn read_body(
    head: &ResponseHead,
    mut exchange: Exchange<ConnectionTarget>,
    mut guard: SendGuard,
    deadline: Duration,
    server_error: bool,
) -> Result<(ResponseBody, Option<Lease<ConnectionTarget>>), ExchangeError> {
    // The bytes are copied: a chunk of one byte would keep its whole read buffer.
    let mut buf = BytesMut::new();
    loop {
        // Many tiny chunks can be decoded without a wait; other requests need their turn.
        tokio::task::coop::consume_budget().await;
        match poll_fn(|cx| exchange.poll_chunk(cx)).await {
            Some(Ok(chunk)) => buf.extend_from_slice(&chunk),
            Some(Err(e)) => {
                guard.finish(Outcome::Failed);
                return Err(e);
            }
            None => break,
        }
        if buf.len() > MAX_BUFFERED_BYTES {
            let length = match head.framing {
                BodyFraming::Length(n) => Some(n),
                BodyFraming::None | BodyFraming::Chunked | BodyFraming::CloseDelimited => None,
            };
            let body = StreamedBody {
                buffered: buf.freeze(),
                exchange,
                length,
                guard,
                deadline,
            };
            return Ok((ResponseBody::Streamed(Box::new(body)), None));
        }
    }
    match server_error {
        true => guard.finish(Outcome::EndpointError { load: None }),
        false => guard.finish_success(),
    }
    let body = match head.framing {
        BodyFraming::None => ResponseBody::None(head.content_length),
        BodyFraming::Length(_) | BodyFraming::Chunked | BodyFraming::CloseDelimited => {
            ResponseBody::Buffered(buf.freeze())
        }
    };
    Ok((body, exchange.abandon()))
}

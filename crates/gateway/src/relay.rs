//! Relays requests to another entry when this one has no path to the endpoints.
//!
//! The other entry serves a relayed request like one of its own callers, but never relays it again.
//! Only requests that were not sent to any endpoint are relayed, so that the number of attempts of a
//! route holds over both entries.

use crate::access::RELAYED_WORKSPACE;
use crate::attempt::{AttemptContext, DROPPED_HEADERS, read_body, request_writer};
use crate::connect::CONNECT_TIMEOUT;
use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use crate::response::{Response, ResponseBody};
use crate::send_guard::SendGuard;
use actix_web::http::header::{HeaderName, HeaderValue};
use mangospindle_client::{
    Connection, Exchange, ExchangeError, ExpectedId, Lease, ResponseHead, end_to_end_headers,
};
use mangospindle_model::ErrorKind;
use mangospindle_telemetry::event;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Header of a relayed request's response that was made by the other entry because it did not send
/// the request. Its value tells why.
const NOT_SENT: HeaderName = HeaderName::from_static("x-mangospindle-not-sent");

/// Value of [`NOT_SENT`] if the other entry has no path to the endpoints either, or is stopping.
const NO_PATH: HeaderValue = HeaderValue::from_static("no-path");

/// Value of [`NOT_SENT`] if the service has no usable endpoint in the view of the other entry.
const NO_ENDPOINT: HeaderValue = HeaderValue::from_static("no-endpoint");

/// Header of the response to a request that was relayed for a workspace, if the other entry made the response and
/// the request has not run. The first entry then gives back what it charged.
const NOT_RUN: HeaderName = HeaderName::from_static("x-mangospindle-not-run");

/// Maximum number of entries to which one request is offered.
const MAX_PEERS: usize = 3;

/// Maximum time since the last response on a pooled connection to another entry.
const MAX_VALIDATION_AGE: Duration = Duration::from_secs(3);

/// Time for which the peers are kept up to date after a request needed one. They are not requested in
/// calm times, because every entry would receive them in each exchange.
const PEERS_WANTED_TIME: Duration = Duration::from_secs(5);

/// Result of an attempt to relay a request.
enum RelayResult {
    /// The response of the other entry, which may be that of an endpoint.
    Response(Response),
    /// The other entry did not send the request for a reason of its own.
    Declined,
    /// Nothing was sent to the other entry.
    Unreachable,
    /// The request may have run, but there is no complete response.
    Failed(ExchangeError),
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl RelayResult {
    /// Stable name for logs and metrics.
    fn as_str(&self) -> &'static str {
        match self {
            RelayResult::Response(_) => "answer",
            RelayResult::Declined => "declined",
            RelayResult::Unreachable => "unreachable",
            RelayResult::Failed(_) => "failed",
            RelayResult::TimedOut => "timed_out",
        }
    }
}

impl Gateway {
    /// Keeps the peers up to date for a while, and updates them at once if they are not.
    pub(crate) fn want_peers(&self) {
        let now = self.now();
        let were_wanted = self.wants_peers();
        self.peers_wanted_until.set(now + PEERS_WANTED_TIME);
        if !were_wanted {
            self.announce_now.notify_one();
        }
    }

    /// Whether the peers are kept up to date.
    pub(crate) fn wants_peers(&self) -> bool {
        self.now() < self.peers_wanted_until.get()
    }
}

/// Offers a request to other entries. Returns `None` if none of them took it.
pub(crate) async fn relay(
    gateway: &Rc<Gateway>,
    context: &AttemptContext<'_>,
    service: &str,
) -> Option<Response> {
    gateway.want_peers();
    if gateway
        .peers
        .borrow()
        .is_service_down(gateway.now(), service)
    {
        return None;
    }
    for _ in 0..MAX_PEERS {
        let now = gateway.now();
        let peer = (gateway.peers.borrow_mut()).select(now, &context.access.home_regions)?;
        let result = tokio::select! {
            biased;
            result = relay_to(gateway, context, service, peer) => result,
            () = gateway.exiting() => return Some(failed_response()),
        };
        gateway.metrics.count_relay(result.as_str());
        event!(Debug, "request_relayed", "request" => context.id, "peer" => peer,
            "result" => result.as_str(), "service" => service,
            "took_ms" => gateway.now().saturating_sub(now).as_millis());
        match result {
            RelayResult::Response(response) => return Some(response),
            RelayResult::Declined | RelayResult::Unreachable => {
                gateway.peers.borrow_mut().avoid(gateway.now(), peer);
            }
            RelayResult::Failed(e) => {
                event!(Info, "relay_failed", "request" => context.id, "peer" => peer, "error" => e);
                gateway.peers.borrow_mut().avoid(gateway.now(), peer);
                // The other entry may have used all attempts of the route.
                return Some(failed_response());
            }
            RelayResult::TimedOut => {
                event!(Info, "relay_late", "request" => context.id, "peer" => peer);
                let detail = "no answer in time";
                return Some(Response::error(ErrorKind::DeadlineExceeded, detail, None));
            }
        }
    }
    None
}

fn failed_response() -> Response {
    Response::error(ErrorKind::UpstreamFailed, "the other entry failed", None)
}

/// The response to a relayed request that this entry cannot serve, and another one may.
pub(crate) fn declined_response() -> Response {
    let mut response = Response::error(ErrorKind::NoEndpoint, "unknown workspace", None);
    response.headers.insert(NOT_SENT, NO_PATH);
    response
}

/// Marks the response to a relayed request if the request has not run and belongs to a workspace.
pub(crate) fn mark_not_run(response: &mut Response, has_workspace: bool) {
    // Endpoints cannot set the mark.
    response.headers.remove(NOT_RUN);
    if response.not_run && has_workspace {
        let value = HeaderValue::from_static("1");
        response.headers.insert(NOT_RUN, value);
    }
}

/// Marks the response to a relayed request if the request was not sent to any endpoint.
pub(crate) fn mark_not_sent(response: &mut Response, paths_lost: bool) {
    let reason = match response.error_kind {
        Some(ErrorKind::NoEndpoint) if !paths_lost => NO_ENDPOINT,
        Some(ErrorKind::NoEndpoint | ErrorKind::Draining) => NO_PATH,
        _ => return,
    };
    response.headers.insert(NOT_SENT, reason);
}

async fn relay_to(
    gateway: &Rc<Gateway>,
    context: &AttemptContext<'_>,
    service: &str,
    peer: SocketAddr,
) -> RelayResult {
    let Ok(lease) = connect(gateway, peer, gateway.time_left(context)).await else {
        return RelayResult::Unreachable;
    };
    let mut headers = end_to_end_headers(&context.inbound.headers, DROPPED_HEADERS);
    context.access.set_workspace_header(gateway, &mut headers);
    let workspace = context.access.workspace.as_deref();
    if let Some(Ok(name)) = workspace.map(HeaderValue::from_str) {
        headers.insert(RELAYED_WORKSPACE, name);
    }
    let time_left = gateway.time_left(context);
    gateway.protocol.set_time_left(&mut headers, time_left);
    let Ok(writer) = request_writer(context, headers) else {
        return RelayResult::Unreachable;
    };
    let method = context.inbound.method.clone();
    let mut exchange = Exchange::new(lease, method, writer, ExpectedId::in_success(context.id));
    let head = exchange.send_request(&*gateway.clock);
    let head = match tokio::time::timeout(time_left, head).await {
        Ok(Ok(head)) => head,
        Ok(Err(_)) if !exchange.has_started() => return RelayResult::Unreachable,
        Ok(Err(e)) => return RelayResult::Failed(e),
        Err(_) => return RelayResult::TimedOut,
    };
    let not_sent = head.headers.get(NOT_SENT).cloned();
    match not_sent {
        Some(reason) if reason == NO_PATH => return RelayResult::Declined,
        Some(_) => {
            let mut peers = gateway.peers.borrow_mut();
            peers.record_service_down(gateway.now(), service);
        }
        None => {}
    }
    let guard = SendGuard::relayed(Rc::clone(gateway));
    let body = read_body(&head, exchange, guard, context.deadline, false);
    match tokio::time::timeout(gateway.time_left(context), body).await {
        Ok(Ok((body, _))) => RelayResult::Response(relayed_response(context, &head, body)),
        Ok(Err(e)) => RelayResult::Failed(e),
        Err(_) => RelayResult::TimedOut,
    }
}

fn relayed_response(
    context: &AttemptContext<'_>,
    head: &ResponseHead,
    body: ResponseBody,
) -> Response {
    let mut response = Response::from_endpoint(head, body);
    response.headers.remove(NOT_SENT);
    let is_marked = response.headers.remove(NOT_RUN).next().is_some();
    response.not_run = is_marked && context.access.workspace.is_some();
    response
}

/// Returns a connection to the relay listener of another entry.
async fn connect(
    gateway: &Gateway,
    peer: SocketAddr,
    time_left: Duration,
) -> io::Result<Lease<ConnectionTarget>> {
    let address = SocketAddr::new(peer.ip(), gateway.settings.relay_listen.port());
    let target = ConnectionTarget::Entry(address);
    let now = gateway.now();
    let validated_after = now.saturating_sub(MAX_VALIDATION_AGE);
    if let Some(lease) = gateway.pool.acquire(target, now, validated_after) {
        return Ok(lease);
    }
    let mut lease = Lease::unopened(Arc::clone(&gateway.pool), target);
    let timeout = CONNECT_TIMEOUT.min(time_left);
    lease.set_connection(Connection::open(address, now, timeout).await?);
    Ok(lease)
}

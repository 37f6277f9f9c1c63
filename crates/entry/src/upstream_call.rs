use crate::client::{Exchange, Lease, RequestHead, ResponseHead, Target, Upload};
use crate::connect::{Freshness, lease_connection};
use crate::headers::{self, DEADLINE, REQUEST_ID};
use crate::outbound_request::OutboundRequest;
use crate::permit_guard::PermitGuard;
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use crate::slot_release::release_when_endpoint_stops;
use mangospindle_model::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request on its way to an endpoint or to another entry, until its answer starts.
///
/// When it is dropped after the request has left and before its answer has started, the permit is
/// kept until the endpoint has closed the connection or the deadline has passed: the endpoint may
/// still be working on the request.
pub(crate) struct UpstreamCall {
    exchange: Option<Exchange>,
    permit: Option<PermitGuard>,
    /// Whether the connection has carried an earlier request.
    pub(crate) reused: bool,
    /// When the request was sent, on the local clock.
    pub(crate) sent_at: Duration,
}

/// Where a call goes and what it must observe.
pub(crate) struct CallOptions {
    pub(crate) target: Target,
    pub(crate) address: SocketAddr,
    pub(crate) freshness: Freshness,
    /// On the local clock.
    pub(crate) deadline: Duration,
}

impl UpstreamCall {
    /// Gets a connection and prepares the request. Nothing has been sent if this fails.
    pub(crate) async fn prepare(
        shared: &Arc<ServerState>,
        cx: &RequestContext,
        outbound: &mut OutboundRequest,
        plan: &CallOptions,
        permit: Option<PermitGuard>,
    ) -> Result<UpstreamCall, (RequestError, Option<PermitGuard>)> {
        let lease = match lease_verified_connection(shared, plan).await {
            Ok(lease) => lease,
            Err(refusal) => return Err((refusal, permit)),
        };
        let now = shared.now();
        let left = plan.deadline.saturating_sub(now).as_millis();
        if left == 0 {
            return Err((ErrorKind::DeadlineBeforeDispatch.into(), permit));
        }
        let Some((framing, body)) = outbound.take_body() else {
            let refusal = RequestError::new(ErrorKind::Internal, "the body was already sent");
            return Err((refusal, permit));
        };
        let mut head = RequestHead {
            method: outbound.method.clone(),
            path: outbound.path.clone(),
            headers: outbound.headers.clone(),
        };
        headers::set(&mut head.headers, DEADLINE, &left.to_string());
        headers::set(&mut head.headers, REQUEST_ID, &cx.id);
        let Ok(upload) = Upload::new(head, &plan.address.to_string(), framing, body) else {
            let refusal = RequestError::new(ErrorKind::BadRequest, "the path cannot be forwarded");
            return Err((refusal, permit));
        };
        Ok(UpstreamCall {
            reused: lease.is_reused(),
            exchange: Some(Exchange::new(lease, outbound.method.clone(), upload)),
            permit,
            sent_at: now,
        })
    }

    /// Sends the request and waits for the start of the answer, at most for `timeout`. `None` when
    /// the time is over.
    pub(crate) async fn head(
        &mut self,
        shared: &ServerState,
        timeout: Duration,
    ) -> Option<Result<ResponseHead, crate::client::ExchangeError>> {
        let exchange = self.exchange.as_mut()?;
        let head = exchange.head(&*shared.clock);
        tokio::time::timeout(timeout, head).await.ok()
    }

    /// Whether a byte of the request may have left this process.
    pub(crate) fn has_started(&self) -> bool {
        self.exchange.as_ref().is_some_and(Exchange::has_started)
    }

    /// The permit, to record results.
    pub(crate) fn permit(&mut self) -> Option<&mut PermitGuard> {
        self.permit.as_mut()
    }

    /// Takes the permit back after the connection was closed by the other side.
    pub(crate) fn take_permit(&mut self) -> Option<PermitGuard> {
        self.permit.take()
    }

    /// Goes on with the body of the answer.
    pub(crate) fn into_parts(mut self) -> (Option<Exchange>, Option<PermitGuard>) {
        (self.exchange.take(), self.permit.take())
    }
}

impl Drop for UpstreamCall {
    fn drop(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let in_doubt = exchange.has_started() && !exchange.has_head();
        if let (true, Some(permit)) = (in_doubt, self.permit.take()) {
            release_when_endpoint_stops(exchange, permit);
        }
    }
}

/// Gets a connection whose proof is still valid right before the first byte. The wait for a new
/// connection, or a pause of the process, can be longer than the proof lasts.
async fn lease_verified_connection(
    shared: &Arc<ServerState>,
    plan: &CallOptions,
) -> Result<Lease, RequestError> {
    loop {
        let mut candidate = lease_connection(
            shared,
            plan.target,
            plan.address,
            plan.freshness,
            plan.deadline,
        )
        .await?;
        let now = shared.now();
        if now >= plan.deadline {
            return Err(ErrorKind::DeadlineBeforeDispatch.into());
        }
        let needed = match plan.freshness {
            Freshness::Any => Duration::ZERO,
            Freshness::Proved | Freshness::New => Freshness::Proved.proved_after(now),
        };
        if candidate
            .connection()
            .is_some_and(|c| c.proved_at >= needed)
        {
            return Ok(candidate);
        }
    }
}

use crate::client::{
    Exchange, ExpectedId, Lease, RequestHead, RequestWriter, ResponseHead, Target,
};
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

/// A request that is sent to an endpoint or to another entry, until its response starts.
///
/// If this is dropped after sending has started and before the response has started, the endpoint
/// may still be working on the request. The permit is then held until the endpoint has closed the
/// connection or the deadline has passed.
pub(crate) struct UpstreamCall {
    exchange: Option<Exchange>,
    permit: Option<PermitGuard>,
    /// Whether the connection was used by an earlier request.
    pub(crate) reused: bool,
    /// Time on the local clock at which the request was sent.
    pub(crate) sent_at: Duration,
}

/// Destination and constraints of an [`UpstreamCall`].
pub(crate) struct CallOptions {
    pub(crate) target: Target,
    pub(crate) address: SocketAddr,
    pub(crate) freshness: Freshness,
    /// Time on the local clock at which the request expires.
    pub(crate) deadline: Duration,
}

impl UpstreamCall {
    /// Gets a connection and prepares the request. On an error, nothing has been sent.
    pub(crate) async fn prepare(
        shared: &Arc<ServerState>,
        cx: &RequestContext,
        outbound: &mut OutboundRequest,
        options: &CallOptions,
        permit: Option<PermitGuard>,
    ) -> Result<UpstreamCall, (RequestError, Option<PermitGuard>)> {
        let lease = match lease_validated_connection(shared, options).await {
            Ok(lease) => lease,
            Err(error) => return Err((error, permit)),
        };
        let now = shared.now();
        let remaining = options.deadline.saturating_sub(now).as_millis();
        if remaining == 0 {
            return Err((ErrorKind::DeadlineBeforeDispatch.into(), permit));
        }
        let Some((framing, body)) = outbound.take_body() else {
            let error = RequestError::new(ErrorKind::Internal, "the body was already sent");
            return Err((error, permit));
        };
        let mut head = RequestHead {
            method: outbound.method.clone(),
            path: outbound.path.clone(),
            headers: outbound.headers.clone(),
        };
        headers::set(&mut head.headers, DEADLINE, &remaining.to_string());
        headers::set(&mut head.headers, REQUEST_ID, &cx.id);
        let Ok(upload) = RequestWriter::new(head, &options.address.to_string(), framing, body)
        else {
            let error = RequestError::new(ErrorKind::BadRequest, "the path cannot be forwarded");
            return Err((error, permit));
        };
        Ok(UpstreamCall {
            reused: lease.is_reused(),
            exchange: Some(Exchange::new(
                lease,
                outbound.method.clone(),
                upload,
                ExpectedId::Optional(cx.id.clone()),
            )),
            permit,
            sent_at: now,
        })
    }

    /// Sends the request and waits for the head of the response. Returns `None` after `timeout`.
    pub(crate) async fn response_head(
        &mut self,
        shared: &ServerState,
        timeout: Duration,
    ) -> Option<Result<ResponseHead, crate::client::ExchangeError>> {
        let exchange = self.exchange.as_mut()?;
        let head = exchange.send_request(&*shared.clock);
        tokio::time::timeout(timeout, head).await.ok()
    }

    /// Whether any byte of the request may have been sent.
    pub(crate) fn has_started(&self) -> bool {
        self.exchange.as_ref().is_some_and(Exchange::has_started)
    }

    /// The permit, to set the result of the request.
    pub(crate) fn permit(&mut self) -> Option<&mut PermitGuard> {
        self.permit.as_mut()
    }

    /// Takes the permit after the peer has closed the connection.
    pub(crate) fn take_permit(&mut self) -> Option<PermitGuard> {
        self.permit.take()
    }

    /// Splits this into the exchange, which has the response body left to read, and the permit.
    pub(crate) fn into_parts(mut self) -> (Option<Exchange>, Option<PermitGuard>) {
        (self.exchange.take(), self.permit.take())
    }
}

impl Drop for UpstreamCall {
    fn drop(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let may_be_running = exchange.has_started() && !exchange.has_response_head();
        if let (true, Some(permit)) = (may_be_running, self.permit.take()) {
            release_when_endpoint_stops(exchange, permit);
        }
    }
}

/// Gets a connection that still meets the freshness requirement right before the first byte is
/// sent. Connecting, or a pause of the process, can take longer than a validation is valid.
async fn lease_validated_connection(
    shared: &Arc<ServerState>,
    options: &CallOptions,
) -> Result<Lease, RequestError> {
    loop {
        let mut candidate = lease_connection(
            shared,
            options.target,
            options.address,
            options.freshness,
            options.deadline,
        )
        .await?;
        let now = shared.now();
        if now >= options.deadline {
            return Err(ErrorKind::DeadlineBeforeDispatch.into());
        }
        let validated_since = match options.freshness {
            Freshness::Any => Duration::ZERO,
            Freshness::Validated | Freshness::New => Freshness::Validated.validated_after(now),
        };
        if candidate
            .connection()
            .is_some_and(|c| c.validated_at >= validated_since)
        {
            return Ok(candidate);
        }
    }
}

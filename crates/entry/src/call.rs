use crate::client::{Exchange, Lease, RequestHead, RequestWriter, ResponseHead, Target};
use crate::connect::{Freshness, lease};
use crate::headers::{self, DEADLINE, REQUEST_ID};
use crate::linger::linger;
use crate::outbound::Outbound;
use crate::permit_guard::PermitGuard;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::shared::Shared;
use mangospindle_model::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request on its way to an endpoint or to another entry, until its answer starts.
///
/// When it is dropped after the request has left and before its answer has started, the permit is
/// kept until the endpoint has closed the connection or the deadline has passed: the endpoint may
/// still be working on the request.
pub(crate) struct Call {
    exchange: Option<Exchange>,
    permit: Option<PermitGuard>,
    /// Whether the connection has carried an earlier request.
    pub(crate) reused: bool,
    /// When the request was sent, on the local clock.
    pub(crate) sent_at: Duration,
}

/// Where a call goes and what it must observe.
pub(crate) struct CallPlan {
    pub(crate) target: Target,
    pub(crate) address: SocketAddr,
    pub(crate) freshness: Freshness,
    /// On the local clock.
    pub(crate) deadline: Duration,
}

impl Call {
    /// Gets a connection and prepares the request. Nothing has been sent if this fails.
    pub(crate) async fn prepare(
        shared: &Arc<Shared>,
        cx: &RequestContext,
        outbound: &mut Outbound,
        plan: &CallPlan,
        permit: Option<PermitGuard>,
    ) -> Result<Call, (Refusal, Option<PermitGuard>)> {
        let lease = match proved_lease(shared, plan).await {
            Ok(lease) => lease,
            Err(refusal) => return Err((refusal, permit)),
        };
        let now = shared.now();
        let left = plan.deadline.saturating_sub(now).as_millis();
        if left == 0 {
            return Err((ErrorKind::DeadlineBeforeDispatch.into(), permit));
        }
        let Some((framing, body)) = outbound.take_body() else {
            let refusal = Refusal::new(ErrorKind::Internal, "the body was already sent");
            return Err((refusal, permit));
        };
        let mut head = RequestHead {
            method: outbound.method.clone(),
            path: outbound.path.clone(),
            headers: outbound.headers.clone(),
        };
        headers::set(&mut head.headers, DEADLINE, &left.to_string());
        headers::set(&mut head.headers, REQUEST_ID, &cx.id);
        let Ok(upload) = RequestWriter::new(head, &plan.address.to_string(), framing, body) else {
            let refusal = Refusal::new(ErrorKind::BadRequest, "the path cannot be forwarded");
            return Err((refusal, permit));
        };
        Ok(Call {
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
        shared: &Shared,
        timeout: Duration,
    ) -> Option<Result<ResponseHead, crate::client::ExchangeError>> {
        let exchange = self.exchange.as_mut()?;
        let head = exchange.send_request(&*shared.clock);
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

impl Drop for Call {
    fn drop(&mut self) {
        let Some(exchange) = self.exchange.take() else {
            return;
        };
        let in_doubt = exchange.has_started() && !exchange.has_response_head();
        if let (true, Some(permit)) = (in_doubt, self.permit.take()) {
            linger(exchange, permit);
        }
    }
}

/// Gets a connection whose proof is still valid right before the first byte. The wait for a new
/// connection, or a pause of the process, can be longer than the proof lasts.
async fn proved_lease(shared: &Arc<Shared>, plan: &CallPlan) -> Result<Lease, Refusal> {
    loop {
        let mut candidate = lease(
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
            .is_some_and(|c| c.validated_at >= needed)
        {
            return Ok(candidate);
        }
    }
}

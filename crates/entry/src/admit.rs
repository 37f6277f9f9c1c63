//! Admission of requests to the endpoints that this entry owns.

use crate::permit_guard::PermitGuard;
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use mangospindle_model::{ErrorKind, RequestClass};
use mangospindle_quota::{AdmissionRequest, Decision, Permit, RequestResult, Ticket};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Decision of the admission control. A queued request gets the receiver of its later permit.
enum AdmissionResult {
    Granted(Permit),
    Waiting(Ticket, oneshot::Receiver<Result<Permit, ErrorKind>>),
    Rejected(ErrorKind),
}

/// Gets a permit for a request. Waits in the admission queue if the profile allows queueing.
pub(crate) async fn admit(
    shared: &Arc<ServerState>,
    cx: &RequestContext,
) -> Result<PermitGuard, RequestError> {
    let remaining = cx.remaining(shared.now())?;
    let request = AdmissionRequest {
        service: cx.service,
        class: cx.class,
        home: cx.home,
        remaining,
    };
    let admission_result =
        shared.with_routing(|state, now| match state.admission.request(now, request) {
            Decision::Dispatch(permit) => AdmissionResult::Granted(permit),
            Decision::Refused(kind) => AdmissionResult::Rejected(kind),
            Decision::Queued(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiters.insert(ticket, tx);
                AdmissionResult::Waiting(ticket, rx)
            }
        })?;
    let result = match admission_result {
        AdmissionResult::Granted(permit) => {
            shared.metrics.slots_in_use.inc();
            Ok(permit)
        }
        AdmissionResult::Rejected(kind) => Err(kind),
        AdmissionResult::Waiting(ticket, rx) => {
            shared.queue_notify.notify_one();
            let mut queued_request = QueuedRequest {
                shared: Arc::clone(shared),
                ticket,
                rx,
            };
            match (&mut queued_request.rx).await {
                Ok(result) => result,
                Err(_) => Err(ErrorKind::NoCapacity),
            }
        }
    };
    match result {
        Ok(permit) => {
            count_cross_region(shared, cx);
            Ok(PermitGuard::new(Arc::clone(shared), permit))
        }
        Err(kind) => {
            shared.with_routing(|state, now| state.record_error(now, cx.service, kind))?;
            let name = kind.row().name;
            shared
                .metrics
                .owner_refused
                .with_label_values(&[name])
                .inc();
            if kind == ErrorKind::Shed {
                let class = cx.class.as_str();
                shared
                    .metrics
                    .requests_shed
                    .with_label_values(&[class])
                    .inc();
            }
            Err(shared.with_retry_after(kind.into(), cx.service))
        }
    }
}

fn count_cross_region(shared: &ServerState, cx: &RequestContext) {
    let home = shared.with_routing(|state, _| {
        let topology = &state.config.topology;
        let is_remote = topology.entry_region(state.entry) != cx.home;
        let region = topology.regions.get(cx.home.index()).filter(|_| is_remote);
        region.map(|r| r.name.clone())
    });
    if let Ok(Some(home)) = home {
        shared
            .metrics
            .cross_region_served
            .with_label_values(&[home.as_str()])
            .inc();
    }
}

/// A queued request that waits for its permit. Dropping it leaves the queue and returns a permit
/// that was granted in the meantime.
struct QueuedRequest {
    shared: Arc<ServerState>,
    ticket: Ticket,
    rx: oneshot::Receiver<Result<Permit, ErrorKind>>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let ticket = self.ticket;
        let _was_queued = self.shared.with_routing(|state, _| {
            state.waiters.remove(&ticket);
            state.admission.cancel(ticket)
        });
        self.rx.close();
        if let Ok(Ok(permit)) = self.rx.try_recv() {
            self.shared.release_permit(permit, RequestResult::Cancelled);
        }
    }
}

/// Whether a request of this class may be sent again although the first attempt may have been
/// executed.
pub(crate) fn is_repeatable(class: RequestClass) -> bool {
    class == RequestClass::Read
}

//! Asking the admission control of this entry for a permit.

use crate::permit_guard::PermitGuard;
use crate::request_context::RequestContext;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use mangospindle_model::{ErrorKind, RequestClass};
use mangospindle_quota::{AdmissionRequest, Decision, Permit, RequestResult, Ticket};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Answer of the admission control, with the receiver of the permit of a queued request.
enum Admitted {
    Now(Permit),
    Later(Ticket, oneshot::Receiver<Result<Permit, ErrorKind>>),
    Refused(ErrorKind),
}

/// Gets a permit for a request, waiting in the queue if the profile allows it.
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
    let admitted = shared.with_routing(|d, now| match d.admission.request(now, request) {
        Decision::Dispatch(permit) => Admitted::Now(permit),
        Decision::Refused(kind) => Admitted::Refused(kind),
        Decision::Queued(ticket) => {
            let (sender, receiver) = oneshot::channel();
            d.waiters.insert(ticket, sender);
            Admitted::Later(ticket, receiver)
        }
    })?;
    let result = match admitted {
        Admitted::Now(permit) => {
            shared.metrics.slots_in_use.inc();
            Ok(permit)
        }
        Admitted::Refused(kind) => Err(kind),
        Admitted::Later(ticket, receiver) => {
            shared.queue_notify.notify_one();
            let mut waiter = Waiter {
                shared: Arc::clone(shared),
                ticket,
                receiver,
            };
            match (&mut waiter.receiver).await {
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
            shared.with_routing(|d, now| d.record_error(now, cx.service, kind))?;
            let name = kind.row().name;
            shared
                .metrics
                .owner_refused
                .with_label_values(&[name])
                .inc();
            if kind == ErrorKind::Shed {
                let class = cx.class.as_str();
                shared.metrics.shed.with_label_values(&[class]).inc();
            }
            Err(shared.with_retry_after(kind.into(), cx.service))
        }
    }
}

fn count_cross_region(shared: &ServerState, cx: &RequestContext) {
    let home = shared.with_routing(|d, _| {
        let topology = &d.config.topology;
        let away = topology.entry_region(d.entry) != cx.home;
        let region = topology.regions.get(cx.home.index()).filter(|_| away);
        region.map(|r| r.name.clone())
    });
    if let Ok(Some(home)) = home {
        shared
            .metrics
            .cross_region
            .with_label_values(&[home.as_str()])
            .inc();
    }
}

/// Waits for the permit of a queued request. When it is dropped early, neither the place in the
/// queue nor a permit that has just been granted is lost.
struct Waiter {
    shared: Arc<ServerState>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Result<Permit, ErrorKind>>,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let ticket = self.ticket;
        let _queued = self.shared.with_routing(|d, _| {
            d.waiters.remove(&ticket);
            d.admission.cancel(ticket)
        });
        self.receiver.close();
        if let Ok(Ok(permit)) = self.receiver.try_recv() {
            self.shared.release_permit(permit, RequestResult::Cancelled);
        }
    }
}

/// Whether requests of a class may be sent a second time without proof that the first did not run.
pub(crate) fn is_repeatable(class: RequestClass) -> bool {
    class == RequestClass::Read
}

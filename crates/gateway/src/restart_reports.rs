//! Tells the other entries of endpoints that may have restarted, and learns from them.

use crate::gateway::Gateway;
use mangospindle_dispatch::EndpointKey;
use mangospindle_fleet::timing::{REPORT_BATCH_TIME, REPORT_HOLD, REPORTS_VALID_TIME};
use mangospindle_fleet::{FollowReports, ReportPosition, ReportReply, ReportRequest};
use mangospindle_rpc::ControlClient;
use mangospindle_telemetry::event;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Delay after a failed exchange with the replica.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay after a reply of a replica that does not know these messages.
const UNKNOWN_REQUEST_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of endpoints that wait to be reported.
const MAX_PENDING_REPORTS: usize = 1024;

/// Endpoints that may have restarted and that no replica has heard of yet.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    instances: RefCell<BTreeSet<String>>,
    added: Notify,
}

impl PendingReports {
    fn add(&self, instances: impl IntoIterator<Item = String>) {
        let mut pending = self.instances.borrow_mut();
        pending.extend(instances);
        while pending.len() > MAX_PENDING_REPORTS {
            pending.pop_first();
        }
        self.added.notify_one();
    }
}

impl Gateway {
    /// Reports that an endpoint may have restarted, unless this entry has lost its own paths.
    pub(crate) fn report_restart(&self, endpoint: EndpointKey, sign: &str) {
        let dispatcher = self.dispatcher();
        let instance = dispatcher.instance(endpoint);
        if let Some(instance) = instance.filter(|_| !self.paths_lost()) {
            event!(Debug, "endpoint_restart_suspected", "endpoint" => instance, "sign" => sign);
            self.pending_reports.add([instance.to_string()]);
        }
    }
}

/// Sends the reports of this entry to its replica.
pub(crate) async fn send_reports(gateway: Rc<Gateway>, client: ControlClient) {
    let pending = &gateway.pending_reports;
    loop {
        pending.added.notified().await;
        tokio::time::sleep(REPORT_BATCH_TIME).await;
        let reports: Vec<String> = pending.instances.take().into_iter().collect();
        let request = ReportRequest {
            reports,
            pass_on: true,
            ..ReportRequest::default()
        };
        if client.exchange(&request.encode()).await.is_none() {
            pending.add(request.reports);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Applies the reports of other entries. Each reply of a connected replica says that there are no others.
pub(crate) async fn follow_reports(gateway: Rc<Gateway>, client: ControlClient) {
    let mut known: Option<ReportPosition> = None;
    loop {
        let request = ReportRequest {
            follow: Some(FollowReports {
                known,
                hold: REPORT_HOLD,
            }),
            ..ReportRequest::default()
        };
        let requested_at = gateway.now();
        let reply = client.exchange(&request.encode()).await;
        match reply.as_deref().map(ReportReply::decode) {
            Some(Ok(reply)) => {
                apply_reports(&gateway, requested_at, &reply);
                known = Some(reply.position);
            }
            Some(Err(_)) => tokio::time::sleep(UNKNOWN_REQUEST_DELAY).await,
            None => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn apply_reports(gateway: &Gateway, requested_at: Duration, reply: &ReportReply) {
    for instance in &reply.reports {
        event!(Debug, "endpoint_restart_reported", "endpoint" => instance);
    }
    gateway.with_dispatcher(|d, now| {
        for instance in &reply.reports {
            d.record_restart_report(now, instance);
        }
        if reply.complete {
            // A process that was frozen reads a reply long after it was sent.
            d.record_reports_complete(requested_at + REPORTS_VALID_TIME);
        }
    });
}

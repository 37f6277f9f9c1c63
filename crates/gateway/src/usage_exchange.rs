//! Reports the usage of allowances to a control replica and applies the totals that it returns.

use crate::gateway::Gateway;
use mangospindle_allowance::UsageReply;
use mangospindle_fleet::timing::{IDLE_USAGE_INTERVAL, USAGE_INTERVAL};
use mangospindle_rpc::ControlClient;
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::time::Duration;

/// Delay after a reply of a replica of an earlier build, which does not know these messages.
const UNKNOWN_REQUEST_DELAY: Duration = Duration::from_secs(2);

/// Minimum time between two reports. Entries of a starting deployment would otherwise report after each of their
/// first requests.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Reports until the future is dropped. Without allowances nothing is sent.
pub(crate) async fn report_usage(gateway: Rc<Gateway>, client: ControlClient) {
    let allowances = &gateway.workspaces.allowances;
    let mut reported_at = gateway.now();
    loop {
        let wanted = gateway.workspaces.report_now.notified();
        let _ = tokio::time::timeout(USAGE_INTERVAL, wanted).await;
        let now = gateway.now();
        let has_limits = allowances.borrow().has_limits();
        let report = allowances.borrow().report(now);
        let is_due = now.saturating_sub(reported_at) >= IDLE_USAGE_INTERVAL;
        if !has_limits || (report.workspaces.is_empty() && !is_due) {
            continue;
        }
        reported_at = now;
        let reply = client.exchange(&report.encode()).await;
        match reply.as_deref().map(UsageReply::decode) {
            Some(Ok(reply)) => {
                let mut allowances = allowances.borrow_mut();
                allowances.apply_reply(gateway.now(), &report, &reply);
            }
            Some(Err(e)) => {
                event!(Info, "usage_reply_unreadable", "reason" => e);
                tokio::time::sleep(UNKNOWN_REQUEST_DELAY).await;
            }
            // Without a connection the client returns at once.
            None => tokio::time::sleep(USAGE_INTERVAL).await,
        }
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }
}

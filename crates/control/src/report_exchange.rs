//! Spreads the reports of entries that endpoints may have restarted.

use crate::peers::Peers;
use crate::published_state::PublishedState;
use mangospindle_fleet::timing::{MAX_REPORTS_CONFIRMED_AGE, REPORT_BATCH_TIME, REPORT_HOLD};
use mangospindle_fleet::{FollowReports, ReportCatchUp, ReportReply, ReportRequest};
use mangospindle_model::Clock;
use mangospindle_rpc::PeerLink;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Number of attempts to pass a report on to another replica, and the delay between them.
const PASS_ON_ATTEMPTS: u32 = 3;
const PASS_ON_DELAY: Duration = Duration::from_millis(100);

/// Collects reports and hands them to entries and to the other replicas.
pub(crate) struct ReportExchange {
    pub(crate) peers: Rc<Peers>,
    pub(crate) published: Rc<PublishedState>,
    pub(crate) clock: Arc<dyn Clock>,
    /// Whether this process has learned the reports from before its start.
    pub(crate) catch_up: RefCell<ReportCatchUp>,
}

impl ReportExchange {
    /// Records the reports of a request. If it asks for further ones, waits until there are some that the
    /// sender does not know, and returns these.
    pub(crate) async fn respond(self: Rc<Self>, request: ReportRequest) -> ReportReply {
        self.record(request.reports, request.pass_on);
        let position = self.published.restart_reports.borrow().position();
        if let Some(FollowReports { known, hold }) = request.follow
            && known == Some(position)
        {
            self.wait_for_report(position.count, hold).await;
        }
        let now = self.clock.now();
        let reports = self.published.restart_reports.borrow();
        let unknown = request.follow.map(|f| reports.since(now, f.known));
        ReportReply {
            position: reports.position(),
            complete: self.is_complete(now),
            reports: unknown.unwrap_or_default(),
        }
    }

    fn is_complete(&self, now: Duration) -> bool {
        let confirmed_age = self.published.confirmed_age(now);
        !self.published.out_of_service.get()
            && self.catch_up.borrow().is_caught_up()
            && confirmed_age.is_some_and(|age| age <= MAX_REPORTS_CONFIRMED_AGE)
    }

    /// Records the recent reports of another replica.
    pub(crate) fn merge(&self, reports: Vec<String>) {
        let now = self.clock.now();
        let mut known = self.published.restart_reports.borrow_mut();
        known.merge(now, reports);
        let count = known.position().count;
        self.published.report_count.send_if_modified(|c| {
            let changed = *c != count;
            *c = count;
            changed
        });
    }

    fn record(&self, reports: Vec<String>, pass_on: bool) {
        let now = self.clock.now();
        let mut known = self.published.restart_reports.borrow_mut();
        let new = known.record(now, reports);
        if new.is_empty() {
            return;
        }
        self.published
            .report_count
            .send_replace(known.position().count);
        if pass_on {
            self.pass_on(new);
        }
    }

    /// Waits until there are more than `count` reports, and then for those that follow at once.
    async fn wait_for_report(&self, count: u64, hold: Duration) {
        let mut report_count = self.published.report_count.subscribe();
        let reported = report_count.wait_for(|c| *c > count);
        // The result holds a lock on the count, which must not outlive this statement.
        let is_reported = (tokio::time::timeout(hold.min(REPORT_HOLD), reported).await)
            .is_ok_and(|count| count.is_ok());
        if is_reported {
            tokio::time::sleep(REPORT_BATCH_TIME).await;
        }
    }

    /// Sends reports to all other replicas.
    fn pass_on(&self, reports: Vec<String>) {
        let request = ReportRequest {
            reports,
            ..ReportRequest::default()
        };
        let request: Rc<[u8]> = request.encode().into();
        for member in self.published.members.borrow().iter() {
            if let Some(link) = self.peers.link(*member) {
                tokio::task::spawn_local(send_repeatedly(link, Rc::clone(&request)));
            }
        }
    }
}

/// Sends a request until it is answered.
async fn send_repeatedly(link: Rc<PeerLink>, request: Rc<[u8]>) {
    for _ in 0..PASS_ON_ATTEMPTS {
        if link.exchange(&request).await.is_some() {
            return;
        }
        tokio::time::sleep(PASS_ON_DELAY).await;
    }
}

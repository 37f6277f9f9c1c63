use crate::report_exchange::ReportExchange;
use futures::future::join_all;
use mangospindle_consensus::ReplicaId;
use mangospindle_fleet::timing::{REPORT_CATCH_UP_INTERVAL, REPORT_CATCH_UP_TIMEOUT};
use mangospindle_fleet::{
    CatchUpAnswer, FollowReports, ReportPosition, ReportReply, ReportRequest,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Fetches the recent reports of the other replicas after a start.
pub(crate) struct ReportFetcher {
    exchange: Rc<ReportExchange>,
    local: ReplicaId,
    /// Positions up to which the reports of the others were fetched.
    known: BTreeMap<ReplicaId, ReportPosition>,
}

impl ReportFetcher {
    pub(crate) fn new(exchange: Rc<ReportExchange>, local: ReplicaId) -> Self {
        ReportFetcher {
            exchange,
            local,
            known: BTreeMap::new(),
        }
    }

    /// Asks the others until this replica has caught up.
    pub(crate) async fn run(mut self) {
        while !self.exchange.catch_up.borrow().is_caught_up() {
            let requested_at = self.observe();
            let answers = self.fetch().await;
            self.observe();
            (self.exchange.catch_up.borrow_mut()).record_answers(requested_at, &answers);
            tokio::time::sleep(REPORT_CATCH_UP_INTERVAL).await;
        }
        log::info!("the restart reports are complete");
    }

    /// Records whether this replica is connected, and returns the time.
    fn observe(&self) -> Duration {
        let now = self.exchange.clock.now();
        let confirmed_age = self.exchange.published.confirmed_age(now);
        (self.exchange.catch_up.borrow_mut()).observe(now, confirmed_age);
        now
    }

    /// Asks all other replicas at the same time and records their reports.
    async fn fetch(&mut self) -> Vec<CatchUpAnswer> {
        let others: Vec<ReplicaId> = (self.exchange.published.members.borrow().iter().copied())
            .filter(|m| *m != self.local)
            .collect();
        let replies = join_all(others.iter().map(|other| self.ask(*other))).await;
        let replies = others.into_iter().zip(replies);
        replies
            .map(|(other, reply)| self.apply(other, reply))
            .collect()
    }

    /// The reply of a replica, or `None` if there was none in time.
    async fn ask(&self, other: ReplicaId) -> Option<Vec<u8>> {
        let link = self.exchange.peers.link(other)?;
        let request = ReportRequest {
            follow: Some(FollowReports {
                known: self.known.get(&other).copied(),
                hold: Duration::ZERO,
            }),
            ..ReportRequest::default()
        };
        let reply = link.exchange(&request.encode());
        (tokio::time::timeout(REPORT_CATCH_UP_TIMEOUT, reply).await).unwrap_or(None)
    }

    fn apply(&mut self, other: ReplicaId, reply: Option<Vec<u8>>) -> CatchUpAnswer {
        // A replica of a build without reports answers with an empty reply, which does not decode.
        let reply = reply.map(|r| ReportReply::decode(&r));
        let answer = CatchUpAnswer::from(reply.as_ref());
        if let Some(Ok(reply)) = reply {
            self.known.insert(other, reply.position);
            self.exchange.merge(reply.reports);
        }
        answer
    }
}

use crate::command_support;
use crate::options::ReplicaSet;
use crate::published_state::PublishedState;
use crate::replica::Replica;
use crate::replica::messages::{Deliver, Propose, SubmitQuery};
use crate::replica::pending_queries::ConfirmedQuery;
use crate::report_exchange::ReportExchange;
use crate::usage_exchange::UsageExchange;
use actix::Addr;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use mangospindle_consensus::Message;
use mangospindle_fleet::{ExchangeError, ExchangeRequest, ReportRequest};
use mangospindle_model::Clock;
use mangospindle_rpc::{
    ControlService, MAX_WATCH_HOLD, Proposal, ProposeResult, QueryResult, WatchContent, WatchReply,
    WatchRequest,
};
use mangospindle_state::{ChangesSince, ClaimKey};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Serves the RPC interface from what the replica actor publishes.
pub(crate) struct ReplicaService {
    pub(crate) replica: Addr<Replica>,
    pub(crate) published: Rc<PublishedState>,
    pub(crate) replicas: ReplicaSet,
    pub(crate) reports: Rc<ReportExchange>,
    pub(crate) usage: Rc<UsageExchange>,
    pub(crate) clock: Arc<dyn Clock>,
}

/// Counts an open watch until the guard is dropped.
struct WatchGuard(Rc<PublishedState>);

impl WatchGuard {
    fn new(published: Rc<PublishedState>) -> Self {
        published.open_watches.set(published.open_watches.get() + 1);
        WatchGuard(published)
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.open_watches.set(self.0.open_watches.get() - 1);
    }
}

impl ControlService for ReplicaService {
    fn watch(&self, request: WatchRequest) -> LocalBoxFuture<'static, WatchReply> {
        let guard = WatchGuard::new(Rc::clone(&self.published));
        let clock = Arc::clone(&self.clock);
        async move {
            let published = &guard.0;
            let received_at = clock.now();
            if let Some(report) = request.entry {
                published.record_entry_watch(report, request.known_version, received_at);
            }
            let mut version = published.version.subscribe();
            let start = *version.borrow_and_update();
            if start.0 <= request.known_version && !published.cut_off(received_at) {
                let hold = request.hold.min(MAX_WATCH_HOLD);
                let changed = version.wait_for(|v| v.0 > request.known_version || v.1 != start.1);
                // The reply is the same whether the hold time ended or a change arrived.
                let _ = tokio::time::timeout(hold, changed).await;
            }
            watch_reply(published, request.known_version, received_at, clock.now())
        }
        .boxed_local()
    }

    fn propose(&self, proposal: Proposal) -> LocalBoxFuture<'static, ProposeResult> {
        if self.published.out_of_service.get() {
            return futures::future::ready(ProposeResult::NotAccepted).boxed_local();
        }
        let (reply, result) = oneshot::channel();
        self.replica.do_send(Propose { proposal, reply });
        // If the sender is dropped, the command may or may not have been appended.
        async move { result.await.unwrap_or(ProposeResult::Unknown) }.boxed_local()
    }

    fn exchange(&self, request: Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>> {
        if let Some(reply) = command_support::respond(&request) {
            return futures::future::ready(reply).boxed_local();
        }
        match ReportRequest::decode(&request) {
            Some(Ok(request)) => {
                let reports = Rc::clone(&self.reports);
                async move { reports.respond(request).await.encode() }.boxed_local()
            }
            Some(Err(e)) => futures::future::ready(refuse_exchange(&e)).boxed_local(),
            None => {
                let reply = self.usage.respond(&request);
                let reply = reply.unwrap_or_else(|| self.exchange_views(&request));
                futures::future::ready(reply).boxed_local()
            }
        }
    }

    fn query_claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, QueryResult> {
        let (reply, result) = oneshot::channel();
        self.replica
            .do_send(SubmitQuery(ConfirmedQuery::Claim(key, reply)));
        async move { result.await.unwrap_or(QueryResult::Unconfirmed) }.boxed_local()
    }

    fn deliver(&self, messages: Vec<Message>) {
        self.replica.do_send(Deliver(messages));
    }
}

impl ReplicaService {
    fn exchange_views(&self, request: &[u8]) -> Vec<u8> {
        match ExchangeRequest::decode(request) {
            Ok(request) => {
                let members = self.published.members.borrow();
                let addresses = members.iter().filter_map(|m| self.replicas.address(*m));
                let (now, addresses) = (self.clock.now(), addresses.collect());
                let reply = self.published.fleet().respond(now, request, addresses);
                reply.encode()
            }
            Err(e) => refuse_exchange(&e),
        }
    }
}

/// The reply to a request that cannot be decoded.
fn refuse_exchange(e: &ExchangeError) -> Vec<u8> {
    log::warn!("{e}");
    Vec::new()
}

fn watch_reply(
    published: &PublishedState,
    known_version: u64,
    received_at: Duration,
    now: Duration,
) -> WatchReply {
    let state = published.state.borrow();
    let version = state.config().version;
    let content = match version > known_version {
        false => WatchContent::Unchanged,
        true => match state.changes_since(known_version) {
            ChangesSince::Changes(changes) => WatchContent::Changes(changes),
            ChangesSince::Full(config) => WatchContent::Config(Box::new(config.clone())),
        },
    };
    WatchReply {
        version,
        content,
        confirmed_age: published.confirmed_age(now),
        cut_off: published.cut_off(now),
        held: now.saturating_sub(received_at),
    }
}

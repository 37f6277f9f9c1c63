use crate::options::ReplicaSet;
use crate::published::Published;
use crate::replica::Replica;
use crate::replica::messages::{Ask, Deliver, Propose};
use crate::replica::queries::Question;
use actix::Addr;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use mangospindle_consensus::Message;
use mangospindle_fleet::ExchangeRequest;
use mangospindle_model::Clock;
use mangospindle_rpc::{
    ControlService, MAX_HOLD, ProposeResult, QueryResult, WatchContent, WatchReply, WatchRequest,
};
use mangospindle_state::{ChangesSince, ClaimKey};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Serves the RPC interface from what the replica actor publishes.
pub(crate) struct ReplicaService {
    pub(crate) replica: Addr<Replica>,
    pub(crate) published: Rc<Published>,
    pub(crate) replicas: ReplicaSet,
    pub(crate) clock: Arc<dyn Clock>,
}

/// Counts an open watch until it is dropped.
struct OpenWatch(Rc<Published>);

impl OpenWatch {
    fn new(published: Rc<Published>) -> Self {
        published.watches.set(published.watches.get() + 1);
        OpenWatch(published)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.watches.set(self.0.watches.get() - 1);
    }
}

impl ControlService for ReplicaService {
    fn watch(&self, request: WatchRequest) -> LocalBoxFuture<'static, WatchReply> {
        let open = OpenWatch::new(Rc::clone(&self.published));
        let clock = Arc::clone(&self.clock);
        async move {
            let published = &open.0;
            let arrived = clock.now();
            if let Some(report) = request.entry {
                published.heard_entry(report, request.known_version, arrived);
            }
            let mut version = published.version.subscribe();
            let start = *version.borrow_and_update();
            if start.0 <= request.known_version && !published.cut_off(arrived) {
                let hold = request.hold.min(MAX_HOLD);
                let changed = version.wait_for(|v| v.0 > request.known_version || v.1 != start.1);
                // The end of the hold time and a change lead to the same answer.
                let _ = tokio::time::timeout(hold, changed).await;
            }
            watch_reply(published, request.known_version, arrived, clock.now())
        }
        .boxed_local()
    }

    fn propose(&self, command: Vec<u8>, forwarded: bool) -> LocalBoxFuture<'static, ProposeResult> {
        if self.published.withdrawn.get() {
            return futures::future::ready(ProposeResult::NotAccepted).boxed_local();
        }
        let (reply, result) = oneshot::channel();
        self.replica.do_send(Propose {
            command,
            forwarded,
            reply,
        });
        // A dropped sender says nothing about whether the command was appended.
        async move { result.await.unwrap_or(ProposeResult::Unknown) }.boxed_local()
    }

    fn exchange(&self, request: Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>> {
        let reply = match ExchangeRequest::decode(&request) {
            Ok(request) => {
                let members = self.published.members.borrow();
                let addresses = members.iter().filter_map(|m| self.replicas.address(*m));
                let (now, addresses) = (self.clock.now(), addresses.collect());
                let reply = self.published.fleet().respond(now, request, addresses);
                reply.encode()
            }
            Err(e) => {
                log::warn!("{e}");
                Vec::new()
            }
        };
        futures::future::ready(reply).boxed_local()
    }

    fn query_claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, QueryResult> {
        let (reply, result) = oneshot::channel();
        self.replica.do_send(Ask(Question::Claim(key, reply)));
        async move { result.await.unwrap_or(QueryResult::Unconfirmed) }.boxed_local()
    }

    fn deliver(&self, messages: Vec<Message>) {
        self.replica.do_send(Deliver(messages));
    }
}

fn watch_reply(
    published: &Published,
    known_version: u64,
    arrived: Duration,
    now: Duration,
) -> WatchReply {
    let state = published.state.borrow();
    let version = state.config().version;
    let content = match version > known_version {
        false => WatchContent::Unchanged,
        true => match state.changes_since(known_version) {
            ChangesSince::Changes(changes) => {
                WatchContent::Changes(changes.into_iter().cloned().collect())
            }
            ChangesSince::Full(config) => WatchContent::Config(Box::new(config.clone())),
        },
    };
    WatchReply {
        version,
        content,
        confirmed_age: published.confirmed_age(now),
        cut_off: published.cut_off(now),
        held: now.saturating_sub(arrived),
    }
}

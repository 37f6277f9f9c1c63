use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};
use mangospindle_consensus::Message;
use mangospindle_model::Clock;
use mangospindle_rpc::{
    ControlService, Proposal, ProposeResult, QueryResult, TrafficCounters, WatchContent,
    WatchReply, WatchRequest, serve,
};
use mangospindle_state::ClaimKey;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A replica of a build without restart reports, which answers requests for them with an empty reply. It takes
/// no part in the consensus.
pub struct ReplicaWithoutReports {
    server: JoinHandle<()>,
    delivered: Rc<Cell<usize>>,
}

struct EmptyService {
    delivered: Rc<Cell<usize>>,
}

impl ReplicaWithoutReports {
    pub async fn start(address: SocketAddr, clock: Arc<dyn Clock>) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let delivered = Rc::new(Cell::new(0));
        let service = Rc::new(EmptyService {
            delivered: Rc::clone(&delivered),
        });
        let server = serve(listener, service, clock, TrafficCounters::default());
        ReplicaWithoutReports {
            server: tokio::task::spawn_local(server),
            delivered,
        }
    }

    /// Number of consensus messages that the other replicas have sent.
    pub fn delivered(&self) -> usize {
        self.delivered.get()
    }

    /// Stops to serve and frees the address.
    pub async fn stop(self) {
        self.server.abort();
        let stopped = self.server.await;
        assert!(stopped.is_err_and(|e| e.is_cancelled()));
    }
}

impl ControlService for EmptyService {
    fn watch(&self, _: WatchRequest) -> LocalBoxFuture<'static, WatchReply> {
        let reply = WatchReply {
            version: 0,
            content: WatchContent::Unchanged,
            confirmed_age: None,
            cut_off: true,
            held: Duration::ZERO,
        };
        ready(reply).boxed_local()
    }

    fn propose(&self, _: Proposal) -> LocalBoxFuture<'static, ProposeResult> {
        ready(ProposeResult::NotAccepted).boxed_local()
    }

    fn query_claim(&self, _: ClaimKey) -> LocalBoxFuture<'static, QueryResult> {
        ready(QueryResult::Unconfirmed).boxed_local()
    }

    fn exchange(&self, _: Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>> {
        ready(Vec::new()).boxed_local()
    }

    fn deliver(&self, messages: Vec<Message>) {
        self.delivered.set(self.delivered.get() + messages.len());
    }
}

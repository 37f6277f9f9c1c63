use futures::FutureExt;
use futures::future::LocalBoxFuture;
use mangospindle_consensus::Message;
use mangospindle_rpc::{
    ControlService, Proposal, ProposeResult, QueryResult, WatchContent, WatchReply, WatchRequest,
};
use mangospindle_state::{ClaimKey, ClaimOutcome, Config};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// A [`ControlService`] with preset replies.
pub struct FakeService {
    pub delivered: RefCell<Vec<Message>>,
    pub version: Cell<u64>,
    /// Content of each watch reply to a caller with another version. `None` sends an empty configuration.
    pub content: RefCell<Option<WatchContent>>,
    /// Age of the last confirmation in each watch reply. `None` if the state was never confirmed.
    pub state_age: Cell<Option<Duration>>,
    /// Result of every proposal. `None` leaves proposals unanswered.
    pub propose_result: RefCell<Option<ProposeResult>>,
    /// Number of proposals received.
    pub proposal_count: Cell<usize>,
}

impl FakeService {
    pub fn new(version: u64) -> Self {
        FakeService {
            delivered: RefCell::default(),
            version: Cell::new(version),
            content: RefCell::default(),
            state_age: Cell::new(Some(Duration::from_millis(50))),
            propose_result: RefCell::default(),
            proposal_count: Cell::new(0),
        }
    }
}

impl ControlService for FakeService {
    fn watch(&self, request: WatchRequest) -> LocalBoxFuture<'static, WatchReply> {
        let version = self.version.get();
        let config = Config {
            version,
            ..Config::default()
        };
        let content = self.content.borrow().clone();
        let reply = WatchReply {
            version,
            content: match request.known_version < version {
                true => content.unwrap_or(WatchContent::Config(Box::new(config))),
                false => WatchContent::Unchanged,
            },
            confirmed_age: self.state_age.get(),
            cut_off: false,
            held: Duration::ZERO,
        };
        let hold = request.hold.min(Duration::from_millis(100));
        async move {
            tokio::time::sleep(hold).await;
            reply
        }
        .boxed_local()
    }

    fn propose(&self, _: Proposal) -> LocalBoxFuture<'static, ProposeResult> {
        self.proposal_count.set(self.proposal_count.get() + 1);
        match self.propose_result.borrow().clone() {
            Some(propose_result) => futures::future::ready(propose_result).boxed_local(),
            None => futures::future::pending().boxed_local(),
        }
    }

    fn exchange(&self, request: Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>> {
        futures::future::ready(request).boxed_local()
    }

    fn query_claim(&self, _: ClaimKey) -> LocalBoxFuture<'static, QueryResult> {
        futures::future::ready(QueryResult::Answer(ClaimOutcome::Unknown)).boxed_local()
    }

    fn deliver(&self, messages: Vec<Message>) {
        self.delivered.borrow_mut().extend(messages);
    }
}

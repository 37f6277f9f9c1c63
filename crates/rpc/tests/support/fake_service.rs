use futures::FutureExt;
use futures::future::LocalBoxFuture;
use mangospindle_consensus::Message;
use mangospindle_rpc::{
    ControlService, ProposeResult, QueryResult, WatchContent, WatchReply, WatchRequest,
};
use mangospindle_state::{ClaimKey, ClaimOutcome, Config};
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// A replica without a log behind it.
pub struct FakeService {
    pub delivered: RefCell<Vec<Message>>,
    pub version: Cell<u64>,
    pub age: Cell<Option<Duration>>,
    /// `None` leaves proposals unanswered.
    pub result: RefCell<Option<ProposeResult>>,
    pub proposed: Cell<usize>,
}

impl FakeService {
    pub fn new(version: u64) -> Self {
        FakeService {
            delivered: RefCell::default(),
            version: Cell::new(version),
            age: Cell::new(Some(Duration::from_millis(50))),
            result: RefCell::default(),
            proposed: Cell::new(0),
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
        let reply = WatchReply {
            version,
            content: match request.known_version < version {
                true => WatchContent::Config(Box::new(config)),
                false => WatchContent::Unchanged,
            },
            confirmed_age: self.age.get(),
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

    fn propose(&self, _: Vec<u8>, _: bool) -> LocalBoxFuture<'static, ProposeResult> {
        self.proposed.set(self.proposed.get() + 1);
        match self.result.borrow().clone() {
            Some(result) => futures::future::ready(result).boxed_local(),
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

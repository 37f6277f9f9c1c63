use crate::{ProposeResult, QueryResult, WatchReply, WatchRequest};
use futures::future::LocalBoxFuture;
use mangospindle_consensus::Message;
use mangospindle_state::ClaimKey;

/// What a control replica does for its callers. Implemented by the control replica, called by
/// [`serve`](crate::serve).
pub trait ControlService: 'static {
    /// Answers at once when the caller's version is not current, else on the next change or when
    /// the hold time is over.
    fn watch(&self, request: WatchRequest) -> LocalBoxFuture<'static, WatchReply>;

    /// Proposes an encoded command. A forwarded one is not forwarded again.
    fn propose(&self, command: Vec<u8>, forwarded: bool) -> LocalBoxFuture<'static, ProposeResult>;

    /// Answers a question about an at-most-once action.
    fn query_claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, QueryResult>;

    /// Exchanges views of the fleet; both sides are encoded.
    fn exchange(&self, request: Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>>;

    /// Takes messages of the replicated log, in order.
    fn deliver(&self, messages: Vec<Message>);
}

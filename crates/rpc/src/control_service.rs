use crate::{Proposal, ProposeResult, QueryResult, WatchReply, WatchRequest};
use futures::future::LocalBoxFuture;
use mangospindle_consensus::Message;
use mangospindle_state::ClaimKey;

/// Handler of the calls to a control replica. The control replica implements it, and
/// [`serve`](crate::serve) calls it.
pub trait ControlService: 'static {
    /// Replies immediately if the caller's version is out of date. Otherwise replies on the next
    /// change or when the hold time has passed.
    fn watch(&self, request: WatchRequest) -> LocalBoxFuture<'static, WatchReply>;

    /// Proposes a command.
    fn propose(&self, proposal: Proposal) -> LocalBoxFuture<'static, ProposeResult>;

    /// Returns the state of an at-most-once action.
    fn query_claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, QueryResult>;

    /// Exchanges views of the fleet. Request and reply are encoded.
    fn exchange(&self, request: Vec<u8>) -> LocalBoxFuture<'static, Vec<u8>>;

    /// Handles messages of the consensus protocol, in order.
    fn deliver(&self, messages: Vec<Message>);
}

use futures::future::BoxFuture;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::{ClaimKey, CommandKind, RequestId};
use std::time::Duration;

/// The control replicas, as the request path sees them.
pub trait ControlPlane: Send + Sync {
    /// Proposes a command. A repeated proposal carries the same `request`.
    fn propose(
        &self,
        kind: CommandKind,
        request: RequestId,
        time: Duration,
    ) -> BoxFuture<'static, ProposeResult>;

    /// Asks for the state of an at-most-once action.
    fn query_claim(&self, key: ClaimKey, time: Duration) -> BoxFuture<'static, QueryResult>;
}

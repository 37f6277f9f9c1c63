use futures::future::BoxFuture;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::{ClaimKey, CommandKind, RequestId};
use std::time::Duration;

/// The operations of the control replicas that the request path needs.
pub trait ControlPlane: Send + Sync {
    /// Proposes a command and waits up to `timeout` for its result. A retry uses the same `request`
    /// and gets the first result.
    fn propose(
        &self,
        kind: CommandKind,
        request: RequestId,
        timeout: Duration,
    ) -> BoxFuture<'static, ProposeResult>;

    /// Queries the state of an at-most-once action and waits up to `timeout` for the result.
    fn query_claim(&self, key: ClaimKey, timeout: Duration) -> BoxFuture<'static, QueryResult>;
}

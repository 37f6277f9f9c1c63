use super::StatusReport;
use crate::OrderOrigin;
use futures::future::LocalBoxFuture;
use mangospindle_allowance::WorkspaceUsage;
use mangospindle_http::Problem;
use mangospindle_state::{AuditPage, ClaimKey, ClaimOutcome, Command, Config, Outcome};
use std::sync::Arc;

/// Access of the administration API to its control replica.
pub trait AdminBackend: Send + Sync + 'static {
    /// Returns the log index that the replica has applied.
    fn applied_index(&self) -> u64;

    /// Proposes a command and waits for its outcome. The leader sets the command's time. `origin` tells
    /// when the command arrived.
    ///
    /// The error is [`NoQuorum`](mangospindle_model::ErrorKind::NoQuorum) if the command was not
    /// accepted, and [`OutcomeUnknown`](mangospindle_model::ErrorKind::OutcomeUnknown) if it may
    /// have been accepted. In both cases, a retry with the same request identifier is safe.
    fn propose(
        &self,
        command: Command,
        origin: OrderOrigin,
    ) -> LocalBoxFuture<'static, Result<Outcome, Problem>>;

    /// Returns the current configuration. A majority confirms that it is current after the call
    /// starts.
    fn config(&self) -> LocalBoxFuture<'static, Result<Arc<Config>, Problem>>;

    /// Returns up to `limit` audit records that follow the sequence number `after`, oldest
    /// first.
    fn audit(
        &self,
        after: u64,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<AuditPage, Problem>>;

    /// Returns the status as this replica knows it. Does not need a majority.
    fn status(&self) -> LocalBoxFuture<'static, Result<StatusReport, Problem>>;

    /// Returns the state of an at-most-once action. A majority confirms that it is current after
    /// the call starts.
    fn claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, Result<ClaimOutcome, Problem>>;

    /// Returns the usage of all workspaces with an allowance as this replica knows it. Does not need a
    /// majority.
    fn workspace_usage(&self) -> Vec<WorkspaceUsage>;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

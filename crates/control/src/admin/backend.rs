use super::StatusReport;
use futures::future::LocalBoxFuture;
use mangospindle_http::Problem;
use mangospindle_state::{AuditPage, ClaimKey, ClaimOutcome, Command, Config, Outcome};
use std::sync::Arc;

/// What the administration API needs from the control replica that it runs on.
pub trait AdminBackend: Send + Sync + 'static {
    /// Proposes a command and waits for its outcome. The leader sets the command's time.
    ///
    /// The error is [`NoQuorum`](mangospindle_model::ErrorKind::NoQuorum) if the command was not
    /// accepted, and [`OutcomeUnknown`](mangospindle_model::ErrorKind::OutcomeUnknown) if that is
    /// not known; a resend under the same identifier is safe in both cases.
    fn propose(&self, command: Command) -> LocalBoxFuture<'static, Result<Outcome, Problem>>;

    /// The present configuration, confirmed by a majority after the call started.
    fn config(&self) -> LocalBoxFuture<'static, Result<Arc<Config>, Problem>>;

    /// Audit records after a sequence number, oldest first.
    fn audit(
        &self,
        after: u64,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<AuditPage, Problem>>;

    /// Status as far as this replica knows it; works without a majority.
    fn status(&self) -> LocalBoxFuture<'static, Result<StatusReport, Problem>>;

    /// State of an at-most-once action, confirmed by a majority after the call started.
    fn claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, Result<ClaimOutcome, Problem>>;

    /// Metrics in the text format of Prometheus.
    fn metrics(&self) -> String;
}

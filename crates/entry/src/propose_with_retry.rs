//! Proposes commands that must not be lost, with retries.

use crate::server_state::ServerState;
use mangospindle_rpc::ProposeResult;
use mangospindle_state::{CommandKind, Outcome, RequestId};
use mangospindle_telemetry::event;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Timeout for the result of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest and longest backoff between two proposals. It doubles after each proposal without a
/// result.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Time after which a command is abandoned. It is longer than most network partitions.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15 * 60);

/// Proposes a command until its result is known. All proposals carry the same identifier, so that
/// a repeated one gets the first result. Returns `None` if the command was abandoned.
///
/// The command counts as pending from this call on, not only from the first poll: a drain on another
/// thread could otherwise end between the spawn of the future and its first poll.
pub(crate) fn propose_with_retry(
    shared: &Arc<ServerState>,
    command: CommandKind,
    request: RequestId,
) -> impl Future<Output = Option<Outcome>> + use<> {
    let pending = PendingCommandGuard::new(shared);
    propose_until_result(pending, command, request)
}

async fn propose_until_result(
    pending: PendingCommandGuard,
    command: CommandKind,
    request: RequestId,
) -> Option<Outcome> {
    let shared = &pending.0;
    let deadline = shared.now() + RETRY_TIMEOUT;
    let mut backoff = BACKOFF_RANGE.0;
    loop {
        let proposal = shared
            .control
            .propose(command.clone(), request.clone(), PROPOSE_TIMEOUT);
        if let ProposeResult::Outcome(outcome) = proposal.await {
            return Some(outcome);
        }
        if shared.now() >= deadline {
            event!(Error, "command_given_up", "request" => request.0);
            return None;
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_RANGE.1);
    }
}

/// Counts a command without a result, so that a graceful shutdown can wait for it.
struct PendingCommandGuard(Arc<ServerState>);

impl PendingCommandGuard {
    fn new(shared: &Arc<ServerState>) -> Self {
        shared.pending_commands.fetch_add(1, Ordering::Relaxed);
        PendingCommandGuard(Arc::clone(shared))
    }
}

impl Drop for PendingCommandGuard {
    fn drop(&mut self) {
        self.0.pending_commands.fetch_sub(1, Ordering::Relaxed);
    }
}

//! Proposing commands that must not be lost.

use crate::server_state::ServerState;
use mangospindle_rpc::ProposeResult;
use mangospindle_state::{CommandKind, Outcome, RequestId};
use mangospindle_telemetry::event;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Longest wait for the result of one proposal.
const PROPOSE_TIME: Duration = Duration::from_secs(2);

/// Pauses between proposals without a result: the first, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Time after which a command is given up. Longer than most partitions.
const GIVE_UP: Duration = Duration::from_secs(15 * 60);

/// Proposes a command under one identifier until its result is known. `None` if it was given up.
pub(crate) async fn persist(
    shared: &Arc<ServerState>,
    command: CommandKind,
    request: RequestId,
) -> Option<Outcome> {
    let _pending = Pending::new(shared);
    let deadline = shared.now() + GIVE_UP;
    let mut pause = PAUSE.0;
    loop {
        let proposed = shared
            .control
            .propose(command.clone(), request.clone(), PROPOSE_TIME);
        if let ProposeResult::Outcome(outcome) = proposed.await {
            return Some(outcome);
        }
        if shared.now() >= deadline {
            event!(Error, "command_given_up", "request" => request.0);
            return None;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE.1);
    }
}

/// Counts a command without a result, so that a stop can wait for it.
struct Pending(Arc<ServerState>);

impl Pending {
    fn new(shared: &Arc<ServerState>) -> Self {
        shared.pending_commands.fetch_add(1, Ordering::Relaxed);
        Pending(Arc::clone(shared))
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.pending_commands.fetch_sub(1, Ordering::Relaxed);
    }
}

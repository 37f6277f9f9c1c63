//! Proposing an operator's command through the replica actor.

use crate::order_origin::OrderOrigin;
use crate::order_subject::OrderSubject;
use crate::replica::Replica;
use crate::replica::messages::Propose;
use actix::Addr;
use mangospindle_rpc::{MAX_COMMAND_BYTES, Proposal, ProposeResult};
use mangospindle_state::{Command, CommandKind};
use mangospindle_telemetry::event;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Timeout for the outcome of a change. It exceeds the time that a forwarded proposal takes.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before an order is proposed. If the network held up the order until its caller left, the end of
/// the caller's connection follows the order within a round trip.
const CALLER_CLOSE_DELAY: Duration = Duration::from_millis(50);

/// How long an order is proposed again while this replica has not applied the latest order for its
/// subject. Callers turn to another replica after a second.
const OUTDATED_RETRY_TIME: Duration = Duration::from_millis(700);

/// Interval between these proposals.
const OUTDATED_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// A command that cannot be encoded, or is too large.
#[derive(Debug, thiserror::Error)]
#[error("the change is too large")]
pub(crate) struct TooLarge;

/// Proposes commands of operators. Can be used on any thread.
#[derive(Clone)]
pub(crate) struct Proposer {
    pub(crate) replica: Addr<Replica>,
    /// Log index that the replica has applied.
    pub(crate) applied_index: Arc<AtomicU64>,
}

impl Proposer {
    /// Returns the log index that the replica has applied.
    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index.load(Ordering::Relaxed)
    }

    /// Proposes a command and waits for its outcome.
    pub(crate) async fn propose(
        self,
        command: Command,
        origin: OrderOrigin,
    ) -> Result<ProposeResult, TooLarge> {
        let encoded = match postcard::to_stdvec(&command) {
            Ok(encoded) if encoded.len() <= MAX_COMMAND_BYTES => encoded,
            Ok(_) | Err(_) => return Err(TooLarge),
        };
        match OrderSubject::of_order(&command.kind) {
            Some(_) => Ok(self.propose_order(encoded, &command.kind, origin).await),
            None => Ok(self.propose_once(encoded, None).await),
        }
    }

    /// Proposes an order that has no version: it must not take effect after a newer order for the same
    /// subject, however late it arrives at the leader.
    async fn propose_order(
        &self,
        command: Vec<u8>,
        kind: &CommandKind,
        origin: OrderOrigin,
    ) -> ProposeResult {
        tokio::time::sleep(CALLER_CLOSE_DELAY).await;
        let retry_until = Instant::now() + OUTDATED_RETRY_TIME;
        let mut based_on = origin.applied_index;
        loop {
            if !origin.caller_may_wait() {
                event!(Info, "order_abandoned", "order" => format!("{kind:?}"));
                return ProposeResult::NotAccepted;
            }
            let result = match based_on {
                // Nothing is known here yet, so any order may be newer.
                0 => ProposeResult::Outdated,
                index => self.propose_once(command.clone(), Some(index)).await,
            };
            if result != ProposeResult::Outdated || Instant::now() >= retry_until {
                return result;
            }
            tokio::time::sleep(OUTDATED_RETRY_INTERVAL).await;
            based_on = self.applied_index();
        }
    }

    async fn propose_once(&self, command: Vec<u8>, based_on: Option<u64>) -> ProposeResult {
        let (reply, result) = oneshot::channel();
        let proposal = Proposal {
            command,
            forwarded: false,
            based_on,
        };
        self.replica.do_send(Propose { proposal, reply });
        match tokio::time::timeout(PROPOSE_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            // The replica has stopped or did not answer in time.
            Ok(Err(_)) | Err(_) => ProposeResult::Unknown,
        }
    }
}

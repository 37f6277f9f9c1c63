use futures::FutureExt;
use futures::future::{BoxFuture, ready};
use mangospindle_entry::ControlPlane;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::{Attempt, ClaimKey, ClaimOutcome, CommandKind, Outcome, RequestId};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// How the fake handles proposals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProposalMode {
    #[default]
    Accept,
    /// There is no quorum.
    NotAccepted,
    /// The first proposal is applied, but its result is lost.
    LoseFirstResult,
}

/// Request digest, attempt and state of a claim.
type ClaimRecord = ([u8; 32], Attempt, ClaimOutcome);

/// Control replicas that keep claims in memory and accept all other commands.
#[derive(Default)]
pub struct FakeControl {
    pub mode: Mutex<ProposalMode>,
    claims: Mutex<HashMap<ClaimKey, ClaimRecord>>,
    pub log: Mutex<Vec<&'static str>>,
    /// Delay of each proposal.
    pub delay: Mutex<Duration>,
}

impl FakeControl {
    fn apply(&self, kind: CommandKind) -> Outcome {
        let mut claims = self.claims.lock().unwrap();
        let mut log = self.log.lock().unwrap();
        match kind {
            CommandKind::Claim {
                key,
                digest,
                attempt,
            } => {
                log.push("claim");
                Outcome::Claim(match claims.get(&key) {
                    None => {
                        let record = (digest, attempt, ClaimOutcome::InProgress);
                        claims.insert(key, record);
                        ClaimOutcome::Granted
                    }
                    Some((known, ..)) if *known != digest => ClaimOutcome::BodyMismatch,
                    Some((_, holder, ClaimOutcome::InProgress)) if *holder == attempt => {
                        ClaimOutcome::Granted
                    }
                    Some((_, _, outcome)) => outcome.clone(),
                })
            }
            CommandKind::CompleteClaim { key, response, .. } => {
                log.push("complete");
                claims.get_mut(&key).unwrap().2 = ClaimOutcome::Completed(response);
                Outcome::Done { version: 1 }
            }
            CommandKind::ReleaseClaim { key, .. } => {
                log.push("release");
                claims.remove(&key);
                Outcome::Done { version: 1 }
            }
            CommandKind::MarkClaimUnknown { key, .. } => {
                log.push("unknown");
                claims.get_mut(&key).unwrap().2 = ClaimOutcome::Unknown;
                Outcome::Done { version: 1 }
            }
            _ => Outcome::Done { version: 1 },
        }
    }
}

impl ControlPlane for FakeControl {
    fn propose(
        &self,
        kind: CommandKind,
        _request: RequestId,
        _timeout: Duration,
    ) -> BoxFuture<'static, ProposeResult> {
        let mode = std::mem::take(&mut *self.mode.lock().unwrap());
        let result = match mode {
            ProposalMode::Accept => ProposeResult::Outcome(self.apply(kind)),
            ProposalMode::LoseFirstResult => {
                self.apply(kind);
                ProposeResult::Unknown
            }
            ProposalMode::NotAccepted => {
                *self.mode.lock().unwrap() = mode;
                ProposeResult::NotAccepted
            }
        };
        let delay = *self.delay.lock().unwrap();
        async move {
            tokio::time::sleep(delay).await;
            result
        }
        .boxed()
    }

    fn query_claim(&self, key: ClaimKey, _timeout: Duration) -> BoxFuture<'static, QueryResult> {
        let known = self.claims.lock().unwrap().get(&key).map(|c| c.2.clone());
        ready(match *self.mode.lock().unwrap() {
            ProposalMode::NotAccepted => QueryResult::Unconfirmed,
            _ => QueryResult::Answer(known.unwrap_or(ClaimOutcome::NotFound)),
        })
        .boxed()
    }
}

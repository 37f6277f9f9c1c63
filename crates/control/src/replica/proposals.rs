use crate::limits::{MAX_PENDING_BYTES, MAX_PENDING_PROPOSALS};
use mangospindle_consensus::{ProposalError, ProposalId};
use mangospindle_rpc::ProposeResult;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Proposals that wait for their outcome.
#[derive(Debug, Default)]
pub(crate) struct Proposals {
    next: u64,
    bytes: usize,
    waiting: HashMap<ProposalId, (oneshot::Sender<ProposeResult>, usize)>,
}

impl Proposals {
    /// Whether another command fits.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        self.waiting.len() < MAX_PENDING_PROPOSALS && self.bytes + bytes <= MAX_PENDING_BYTES
    }

    pub(crate) fn add(
        &mut self,
        reply: oneshot::Sender<ProposeResult>,
        bytes: usize,
    ) -> ProposalId {
        self.next += 1;
        let id = ProposalId(self.next);
        self.bytes += bytes;
        self.waiting.insert(id, (reply, bytes));
        id
    }

    pub(crate) fn finish(&mut self, id: ProposalId, result: ProposeResult) {
        if let Some((reply, bytes)) = self.waiting.remove(&id) {
            self.bytes -= bytes;
            // The caller may be gone; the outcome can then be found by a resend.
            let _ = reply.send(result);
        }
    }

    pub(crate) fn fail(&mut self, id: ProposalId, error: ProposalError) {
        let result = match error {
            ProposalError::NotLeader | ProposalError::Rejected => ProposeResult::NotAccepted,
            ProposalError::Unknown => ProposeResult::Unknown,
        };
        self.finish(id, result);
    }

    /// Ends all proposals without an outcome.
    pub(crate) fn abandon(&mut self) -> usize {
        self.bytes = 0;
        let waiting = std::mem::take(&mut self.waiting);
        let count = waiting.len();
        for (reply, _) in waiting.into_values() {
            // The caller may be gone.
            let _ = reply.send(ProposeResult::Unknown);
        }
        count
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

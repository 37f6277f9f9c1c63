use crate::limits::{MAX_PENDING_BYTES, MAX_PENDING_PROPOSALS};
use mangospindle_consensus::{ProposalError, ProposalId};
use mangospindle_rpc::ProposeResult;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Proposals that wait for their outcome at this leader.
#[derive(Debug, Default)]
pub(crate) struct PendingProposals {
    next: u64,
    bytes: usize,
    pending: HashMap<ProposalId, (oneshot::Sender<ProposeResult>, usize)>,
}

impl PendingProposals {
    /// Whether a command of this size in bytes can be added.
    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        self.pending.len() < MAX_PENDING_PROPOSALS && self.bytes + bytes <= MAX_PENDING_BYTES
    }

    pub(crate) fn add(
        &mut self,
        reply: oneshot::Sender<ProposeResult>,
        bytes: usize,
    ) -> ProposalId {
        self.next += 1;
        let id = ProposalId(self.next);
        self.bytes += bytes;
        self.pending.insert(id, (reply, bytes));
        id
    }

    pub(crate) fn resolve(&mut self, id: ProposalId, result: ProposeResult) {
        if let Some((reply, bytes)) = self.pending.remove(&id) {
            self.bytes -= bytes;
            // The caller may be gone; it can learn the outcome by resending the command.
            let _ = reply.send(result);
        }
    }

    pub(crate) fn fail(&mut self, id: ProposalId, error: ProposalError) {
        let result = match error {
            ProposalError::NotLeader | ProposalError::Rejected => ProposeResult::NotAccepted,
            ProposalError::Unknown => ProposeResult::Unknown,
        };
        self.resolve(id, result);
    }

    /// Reports the outcome of all proposals as unknown and returns their number.
    pub(crate) fn fail_all(&mut self) -> usize {
        self.bytes = 0;
        let pending = std::mem::take(&mut self.pending);
        let count = pending.len();
        for (reply, _) in pending.into_values() {
            // The caller may be gone.
            let _ = reply.send(ProposeResult::Unknown);
        }
        count
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

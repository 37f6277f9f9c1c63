use crate::{Entry, HardState, Message, Role, Snapshot};

/// Identifies a proposal in its input and its outputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Reason why a proposal is not known to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// This node is not the leader, or it is transferring leadership. The proposal is in no log.
    NotLeader,
    /// Leadership was lost after the proposal was appended. It may still be committed.
    Unknown,
    /// The membership change is not allowed now. It is in no log.
    Rejected,
}

/// An action for the driver of a `Node`. The driver must carry out outputs in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write the hard state. Messages that follow in this batch or in later ones must not be sent
    /// until it is synced.
    PersistHardState(HardState),
    /// Remove all stored entries from the index of the first one onwards, then append these entries
    /// and report `Input::Persisted` once they are synced. Messages need not wait for the sync, and
    /// one sync may cover several batches.
    PersistEntries(Vec<Entry>),
    /// Replace the log and the state with the snapshot. It must be synced before messages that
    /// follow are sent.
    PersistSnapshot(Snapshot),
    /// Write the snapshot from `Input::Compact`, then drop the entries up to its index and keep the
    /// later ones. Messages need not wait for it.
    SaveSnapshot(Snapshot),
    /// Send a message.
    Send(Message),
    /// Apply a committed entry. Indexes are contiguous.
    Commit(Entry),
    /// The proposal was committed at this index. The preceding `Commit` applies it.
    ProposalCommitted {
        /// The proposal.
        id: ProposalId,
        /// Index of its entry.
        index: u64,
    },
    /// The proposal is not known to be committed.
    ProposalFailed {
        /// The proposal.
        id: ProposalId,
        /// The reason.
        error: ProposalError,
    },
    /// The role of the node changed.
    RoleChanged(Role),
}

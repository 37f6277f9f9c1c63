use crate::{Entry, HardState, Message, Role, Snapshot};

/// Names a proposal between its input and its outputs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Why a proposal has no committed position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalError {
    /// This node does not lead; the command is in no log.
    NotLeader,
    /// Leadership was lost after the command was appended; it may still be committed.
    Unknown,
    /// A membership change is not allowed now; it is in no log.
    Rejected,
}

/// What the driver of a `Node` has to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write the hard state. Messages that follow, in this batch and in later ones, are sent only
    /// once it is synced.
    PersistHardState(HardState),
    /// Remove all entries from the position of the first one on, then append the entries, then
    /// report `Input::Persisted` once they are synced. Messages need not wait for it, and one sync
    /// may cover several batches.
    PersistEntries(Vec<Entry>),
    /// Replace log and state by the snapshot, synced before messages that follow are sent.
    PersistSnapshot(Snapshot),
    /// Write the snapshot that came with `Input::Compact`, then drop the entries up to its
    /// position; the later ones stay. Messages need not wait for it.
    SaveSnapshot(Snapshot),
    /// Send a message.
    Send(Message),
    /// Apply a committed entry. Positions are contiguous.
    Commit(Entry),
    /// The proposal was committed at this position and has been applied.
    ProposalCommitted {
        /// The proposal.
        id: ProposalId,
        /// Its position.
        index: u64,
    },
    /// The proposal has no committed position.
    ProposalFailed {
        /// The proposal.
        id: ProposalId,
        /// Why.
        error: ProposalError,
    },
    /// The role of the node changed.
    RoleChanged(Role),
}

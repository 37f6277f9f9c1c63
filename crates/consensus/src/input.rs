use crate::{Membership, Message, ProposalId, ReplicaId};

/// An event for a `Node`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// Appends a command to the log, if this node is the leader.
    Propose {
        /// Identifies the proposal in later outputs.
        id: ProposalId,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// The entries up to this index, and the hard state written before them, are synced to disk.
    Persisted {
        /// Index of the last synced entry.
        index: u64,
        /// Term of that entry.
        term: u64,
    },
    /// The state machine has taken a snapshot up to this index, so the log may be compacted.
    Compact {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// Encoded state of the state machine.
        data: Vec<u8>,
    },
    /// Requests a membership that differs from the current one by at most one voter.
    ChangeMembership {
        /// Identifies the proposal in later outputs.
        id: ProposalId,
        /// The requested membership.
        membership: Membership,
    },
    /// Transfers leadership to another replica, because the process is about to stop.
    TransferLeadership {
        /// The preferred next leader, if any.
        to: Option<ReplicaId>,
    },
    /// Tells the leader that the process is about to stop. Repeated until
    /// [`has_left`](crate::Node::has_left) returns true.
    Leave,
}
